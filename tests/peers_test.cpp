// SPDX-License-Identifier: MIT
// The envelope and the codec of messages between coordinators: what is accepted, and why anything else is
// dropped.
#include <gtest/gtest.h>

#include <functional>
#include <random>

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include "kelpdeal/peers/codec.h"
#include "kelpdeal/peers/envelope.h"

using namespace kelpdeal;
using namespace kelpdeal::peers;

namespace {

Keys keys(const std::string& digits, const std::string& more = "") {
  std::string text = std::string(32, digits[0]) + std::string(32, digits[1]) + "\n", problem;
  if (!more.empty()) text += std::string(32, more[0]) + std::string(32, more[1]) + "\n";
  auto parsed = Keys::parse(text, problem);
  EXPECT_TRUE(parsed) << problem;
  return *parsed;
}

Envelope message(std::uint64_t number = 1) {
  Envelope envelope;
  envelope.from = "n2";
  envelope.from_incarnation = 20;
  envelope.to = "n1";
  envelope.to_incarnation = 10;
  envelope.number = number;
  envelope.kind = static_cast<std::uint32_t>(Kind::delta);
  envelope.body = std::string("\0body\xff", 6);
  return envelope;
}

// The first message of a link's byte stream.
std::string unframed(const std::string& sealed) {
  MessageReader reader(1 << 20);
  reader.feed(sealed);
  return reader.next().value_or("");
}

}  // namespace

TEST(Envelope, IsAcceptedOnceByTheAddressedProcess) {
  const Keys key = keys("ab");
  EnvelopeVerifier verifier("n1", 10, key);
  Envelope got;
  const std::string bytes = unframed(seal(message(), key));
  ASSERT_EQ(verifier.open(bytes, got), DropReason::none);
  EXPECT_EQ(got.from, "n2");
  EXPECT_EQ(got.from_incarnation, 20u);
  EXPECT_EQ(got.body, message().body);
  EXPECT_EQ(verifier.open(bytes, got), DropReason::replayed);
  const struct {
    const char* what;
    std::function<void(Envelope&)> change;
    DropReason drop;
  } cases[] = {
      {"next number", [](Envelope& envelope) { envelope.number = 2; }, DropReason::none},
      {"earlier number", [](Envelope& envelope) { envelope.number = 1; }, DropReason::replayed},
      {"from a later process", [](Envelope& envelope) { envelope.from_incarnation = 21; }, DropReason::none},
      {"from the earlier process", [](Envelope& envelope) { envelope.number = 99; }, DropReason::replayed},
      {"to an earlier process",
       [](Envelope& envelope) { envelope.to_incarnation = 9, envelope.from_incarnation = 30; },
       DropReason::replayed},
      {"without receiver incarnation",
       [](Envelope& envelope) { envelope.to_incarnation = 0, envelope.from_incarnation = 30; },
       DropReason::replayed},
      {"hello without receiver incarnation",
       [](Envelope& envelope) {
         envelope.to_incarnation = 0, envelope.from_incarnation = 30, envelope.kind = 0;
       },
       DropReason::none},
      {"to another member", [](Envelope& envelope) { envelope.to = "n3", envelope.from_incarnation = 31; },
       DropReason::not_for_us},
      {"from the receiver itself",
       [](Envelope& envelope) { envelope.from = "n1", envelope.from_incarnation = 31; },
       DropReason::not_for_us},
      {"next format",
       [](Envelope& envelope) { envelope.format = kFormat + 1, envelope.from_incarnation = 31; },
       DropReason::none},
      {"format after the next",
       [](Envelope& envelope) { envelope.format = kFormat + 2, envelope.from_incarnation = 32; },
       DropReason::format},
      {"format 0", [](Envelope& envelope) { envelope.format = 0, envelope.from_incarnation = 32; },
       DropReason::format},
      {"unknown kind", [](Envelope& envelope) { envelope.kind = 77, envelope.from_incarnation = 32; },
       DropReason::none}};
  for (const auto& c : cases) {
    Envelope envelope = message();
    c.change(envelope);
    EXPECT_EQ(verifier.open(unframed(seal(envelope, key)), got), c.drop) << c.what;
  }
}

TEST(Envelope, BothKeysVerifyAndTheFirstSigns) {
  const Keys before = keys("ab"), both = keys("cd", "ab"), after = keys("cd");
  Envelope got;
  const auto opens = [&](const Keys& mine, const Keys& theirs) {
    return EnvelopeVerifier("n1", 10, mine).open(unframed(seal(message(), theirs)), got);
  };
  EXPECT_EQ(opens(both, before), DropReason::none);
  EXPECT_EQ(opens(after, both), DropReason::none);
  EXPECT_EQ(opens(before, both), DropReason::forged);  // does not have the new key yet
  EXPECT_EQ(opens(after, before), DropReason::forged);
}

TEST(Envelope, AnyFlippedBitIsDetected) {
  const Keys key = keys("ab");
  const std::string bytes = unframed(seal(message(), key));
  EnvelopeVerifier verifier("n1", 10, key);
  Envelope got;
  for (std::size_t i = 0; i < bytes.size(); ++i)
    for (int bit = 0; bit < 8; ++bit) {
      std::string corrupted = bytes;
      corrupted[i] = static_cast<char>(corrupted[i] ^ (1 << bit));
      ASSERT_EQ(verifier.open(corrupted, got), DropReason::forged) << i;
    }
  EXPECT_EQ(verifier.open(bytes.substr(0, kHashBytes), got), DropReason::unreadable);
  EXPECT_EQ(verifier.open(bytes, got), DropReason::none);
}

// Authenticated but malformed: what a faulty build could send.
TEST(Envelope, SignedButMalformedMessagesAreDropped) {
  const Keys key = keys("ab");
  EnvelopeVerifier verifier("n1", 10, key);
  std::mt19937_64 random(1);
  Envelope got;
  for (int i = 0; i < 5'000; ++i) {
    std::string covered(random() % 60, '\0');
    for (char& c : covered) c = static_cast<char>(random());
    EXPECT_NE(verifier.open(key.sign(covered) + covered, got), DropReason::none);
  }
  msgpack::sbuffer later;
  msgpack::packer packer(later);  // of the next format, with an additional field
  packer.pack_array(9).pack(kFormat + 1).pack("n2").pack(20).pack("n1").pack(10).pack(1).pack(2);
  packer.pack_bin(2).pack_bin_body("hi", 2).pack("what this format does not know");
  const std::string covered(later.data(), later.size());
  EXPECT_EQ(verifier.open(key.sign(covered) + covered, got), DropReason::none);
  EXPECT_EQ(got.body, "hi");
}

TEST(Envelope, ReaderReassemblesMessagesAndLimitsTheirLength) {
  const Keys key = keys("ab");
  const std::string stream = seal(message(1), key) + seal(message(2), key);
  MessageReader reader(4096);
  EnvelopeVerifier verifier("n1", 10, key);
  Envelope got;
  int taken = 0;
  for (const char byte : stream) {
    reader.feed({&byte, 1});
    while (const auto one = reader.next()) taken += verifier.open(*one, got) == DropReason::none;
  }
  EXPECT_EQ(taken, 2);
  MessageReader bounded(50);
  bounded.feed(stream);
  EXPECT_FALSE(bounded.next());
  EXPECT_TRUE(bounded.too_long());
}

TEST(Keys, ParseAcceptsOneOrTwoHexKeys) {
  const std::string good(64, 'a');
  const struct {
    std::string text;
    const char* problem;
  } cases[] = {{good + "\n", nullptr},
               {good + "\r\n\n" + good, nullptr},
               {"", "holds no key"},
               {good + "\n" + good + "\n" + good + "\n", "holds more than two keys"},
               {good.substr(1), "a key is not 64 hex digits"},
               {"g" + good.substr(1), "a key is not 64 hex digits"}};
  for (const auto& c : cases) {
    std::string problem;
    EXPECT_EQ(Keys::parse(c.text, problem).has_value(), c.problem == nullptr) << c.text;
    if (c.problem) {
      EXPECT_EQ(problem, c.problem);
    }
  }
}

// ---- Codec ----
namespace {

membership::Message membership_message() {
  membership::Message message;
  message.kind = membership::Message::Kind::probe_request;
  message.number = 7;
  message.target = "n3";
  message.full_state = true;
  message.updates = {{"n1", {1'700'000'000, 2}, membership::State::alive},
                     {"n2", {9, 0}, membership::State::left}};
  return message;
}

replica::Delta delta() {
  replica::Delta delta;
  delta.incarnation = 1;
  delta.start_mark = 2;
  delta.end_mark = 30;
  delta.latest_mark = 40;
  delta.acknowledged_incarnation = 5;
  delta.acknowledged_mark = 6;
  delta.digest = 0xfedcba9876543210;
  delta.range_digests.assign(replica::ReplicatedMap::kRanges, 77);
  delta.requested_ranges = {1, 255};
  replica::Ban ban;
  ban.placed["n1"] = {5, 6};
  delta.items = {{{0, "s-1"}, ban}, {{9, "later"}, replica::UnknownValue{9, 3, std::string("\0x", 2)}}};
  return delta;
}

// Decodes and encodes again.
template <typename Body>
std::optional<std::string> reencoded(std::string_view bytes, const CodecBounds& bounds = {}) {
  Body body;
  if (!decode(bytes, bounds, body)) return std::nullopt;
  return encode(body);
}

}  // namespace

TEST(Codec, BodiesSurviveEncoding) {
  EXPECT_EQ(reencoded<membership::Message>(encode(membership_message())), encode(membership_message()));
  EXPECT_EQ(reencoded<replica::Delta>(encode(delta())), encode(delta()));
  Hello hello{2, 1}, back;
  ASSERT_TRUE(decode(encode(hello), back));
  EXPECT_EQ(back, hello);
  membership::Message message;
  ASSERT_TRUE(decode(encode(membership_message()), {}, message));
  EXPECT_EQ(message.updates, membership_message().updates);
}

TEST(Codec, CorruptOrTruncatedBodiesDoNotCrash) {
  std::mt19937_64 random(2);
  for (const std::string& good : {encode(membership_message()), encode(delta())}) {
    for (std::size_t size = 0; size < good.size(); ++size) {
      EXPECT_FALSE(reencoded<membership::Message>(good.substr(0, size)));
      EXPECT_FALSE(reencoded<replica::Delta>(good.substr(0, size)));
    }
    for (int i = 0; i < 20'000; ++i) {
      std::string corrupted = good;
      for (int n = 0; n < 3; ++n) corrupted[random() % corrupted.size()] = static_cast<char>(random());
      (void)reencoded<membership::Message>(corrupted);
      (void)reencoded<replica::Delta>(corrupted);
    }
  }
}

TEST(Codec, BodiesOverALimitAreRejected) {
  CodecBounds bounds;
  bounds.max_updates = 1;
  EXPECT_FALSE(reencoded<membership::Message>(encode(membership_message()), bounds));
  bounds = {};
  bounds.max_member_name_bytes = 1;
  EXPECT_FALSE(reencoded<membership::Message>(encode(membership_message()), bounds));
  bounds = {};
  bounds.max_items = 1;
  EXPECT_FALSE(reencoded<replica::Delta>(encode(delta()), bounds));
  bounds = {};
  bounds.max_key_bytes = 4;
  EXPECT_FALSE(reencoded<replica::Delta>(encode(delta()), bounds));
  bounds = {};
  bounds.max_value_bytes = 1;
  EXPECT_FALSE(reencoded<replica::Delta>(encode(delta()), bounds));
}
