// SPDX-License-Identifier: MIT
// Messages between coordinators: what is accepted, and why anything else is not.
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
  Envelope e;
  e.from = "n2";
  e.from_incarnation = 20;
  e.to = "n1";
  e.to_incarnation = 10;
  e.number = number;
  e.kind = static_cast<std::uint32_t>(Kind::delta);
  e.body = std::string("\0body\xff", 6);
  return e;
}

// What a link brings of one sealed message.
std::string unframed(const std::string& sealed) {
  Reader reader(1 << 20);
  reader.feed(sealed);
  return reader.next().value_or("");
}

}  // namespace

TEST(Envelope, IsTakenOnceByTheProcessItIsMeantFor) {
  const Keys key = keys("ab");
  Gate gate("n1", 10, key);
  Envelope got;
  const std::string bytes = unframed(seal(message(), key));
  ASSERT_EQ(gate.open(bytes, got), Drop::none);
  EXPECT_EQ(got.from, "n2");
  EXPECT_EQ(got.from_incarnation, 20u);
  EXPECT_EQ(got.body, message().body);
  EXPECT_EQ(gate.open(bytes, got), Drop::replayed);
  const struct {
    const char* what;
    std::function<void(Envelope&)> change;
    Drop drop;
  } cases[] = {
      {"the next", [](Envelope& e) { e.number = 2; }, Drop::none},
      {"an earlier number", [](Envelope& e) { e.number = 1; }, Drop::replayed},
      {"of a later process", [](Envelope& e) { e.from_incarnation = 21; }, Drop::none},
      {"of the process before", [](Envelope& e) { e.number = 99; }, Drop::replayed},
      {"to our process before", [](Envelope& e) { e.to_incarnation = 9, e.from_incarnation = 30; },
       Drop::replayed},
      {"to no process", [](Envelope& e) { e.to_incarnation = 0, e.from_incarnation = 30; }, Drop::replayed},
      {"a hello to any process",
       [](Envelope& e) { e.to_incarnation = 0, e.from_incarnation = 30, e.kind = 0; }, Drop::none},
      {"to another", [](Envelope& e) { e.to = "n3", e.from_incarnation = 31; }, Drop::not_for_us},
      {"of ourselves", [](Envelope& e) { e.from = "n1", e.from_incarnation = 31; }, Drop::not_for_us},
      {"of the next format", [](Envelope& e) { e.format = kFormat + 1, e.from_incarnation = 31; },
       Drop::none},
      {"of one after it", [](Envelope& e) { e.format = kFormat + 2, e.from_incarnation = 32; }, Drop::format},
      {"of none", [](Envelope& e) { e.format = 0, e.from_incarnation = 32; }, Drop::format},
      {"of a kind not known", [](Envelope& e) { e.kind = 77, e.from_incarnation = 32; }, Drop::none}};
  for (const auto& c : cases) {
    Envelope e = message();
    c.change(e);
    EXPECT_EQ(gate.open(unframed(seal(e, key)), got), c.drop) << c.what;
  }
}

TEST(Envelope, TwoKeysAreValidAndTheFirstSigns) {
  const Keys before = keys("ab"), both = keys("cd", "ab"), after = keys("cd");
  Envelope got;
  const auto opens = [&](const Keys& mine, const Keys& theirs) {
    return Gate("n1", 10, mine).open(unframed(seal(message(), theirs)), got);
  };
  EXPECT_EQ(opens(both, before), Drop::none);
  EXPECT_EQ(opens(after, both), Drop::none);
  EXPECT_EQ(opens(before, both), Drop::forged);  // it has not been given the new one yet
  EXPECT_EQ(opens(after, before), Drop::forged);
}

TEST(Envelope, NotOneBitOfItCanBeChanged) {
  const Keys key = keys("ab");
  const std::string bytes = unframed(seal(message(), key));
  Gate gate("n1", 10, key);
  Envelope got;
  for (std::size_t i = 0; i < bytes.size(); ++i)
    for (int bit = 0; bit < 8; ++bit) {
      std::string spoilt = bytes;
      spoilt[i] = static_cast<char>(spoilt[i] ^ (1 << bit));
      ASSERT_EQ(gate.open(spoilt, got), Drop::forged) << i;
    }
  EXPECT_EQ(gate.open(bytes.substr(0, kHashBytes), got), Drop::unreadable);
  EXPECT_EQ(gate.open(bytes, got), Drop::none);
}

// Signed by the fleet's key and still no message: what a faulty build would send.
TEST(Envelope, WhatIsSignedAndCannotBeReadIsDropped) {
  const Keys key = keys("ab");
  Gate gate("n1", 10, key);
  std::mt19937_64 random(1);
  Envelope got;
  for (int i = 0; i < 5'000; ++i) {
    std::string covered(random() % 60, '\0');
    for (char& c : covered) c = static_cast<char>(random());
    EXPECT_NE(gate.open(key.sign(covered) + covered, got), Drop::none);
  }
  msgpack::sbuffer later;
  msgpack::packer packer(later);  // of the next format, with a field more
  packer.pack_array(9).pack(kFormat + 1).pack("n2").pack(20).pack("n1").pack(10).pack(1).pack(2);
  packer.pack_bin(2).pack_bin_body("hi", 2).pack("what this format does not know");
  const std::string covered(later.data(), later.size());
  EXPECT_EQ(gate.open(key.sign(covered) + covered, got), Drop::none);
  EXPECT_EQ(got.body, "hi");
}

TEST(Envelope, ALinksBytesComeInAnyPiecesAndNoMessageIsTooLong) {
  const Keys key = keys("ab");
  const std::string stream = seal(message(1), key) + seal(message(2), key);
  Reader reader(4096);
  Gate gate("n1", 10, key);
  Envelope got;
  int taken = 0;
  for (const char byte : stream) {
    reader.feed({&byte, 1});
    while (const auto one = reader.next()) taken += gate.open(*one, got) == Drop::none;
  }
  EXPECT_EQ(taken, 2);
  Reader bounded(50);
  bounded.feed(stream);
  EXPECT_FALSE(bounded.next());
  EXPECT_TRUE(bounded.too_long());
}

TEST(Keys, AFileOfThemIsOneOrTwoLinesOfHex) {
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

// ---- bodies ----
namespace {

membership::Message rumours() {
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

// What decode() takes and encode() makes of it again.
template <typename Body>
std::optional<std::string> again(std::string_view bytes, const CodecBounds& bounds = {}) {
  Body body;
  if (!decode(bytes, bounds, body)) return std::nullopt;
  return encode(body);
}

}  // namespace

TEST(Codec, BodiesAreTheSameOverTheWire) {
  EXPECT_EQ(again<membership::Message>(encode(rumours())), encode(rumours()));
  EXPECT_EQ(again<replica::Delta>(encode(delta())), encode(delta()));
  Hello hello{2, 1}, back;
  ASSERT_TRUE(decode(encode(hello), back));
  EXPECT_EQ(back, hello);
  membership::Message message;
  ASSERT_TRUE(decode(encode(rumours()), {}, message));
  EXPECT_EQ(message.updates, rumours().updates);
}

TEST(Codec, WhatIsSpoiltOrCutShortIsRefusedOrAnotherBodyAndCrashesNothing) {
  std::mt19937_64 random(2);
  for (const std::string& good : {encode(rumours()), encode(delta())}) {
    for (std::size_t size = 0; size < good.size(); ++size) {
      EXPECT_FALSE(again<membership::Message>(good.substr(0, size)));
      EXPECT_FALSE(again<replica::Delta>(good.substr(0, size)));
    }
    for (int i = 0; i < 20'000; ++i) {
      std::string spoilt = good;
      for (int n = 0; n < 3; ++n) spoilt[random() % spoilt.size()] = static_cast<char>(random());
      (void)again<membership::Message>(spoilt);
      (void)again<replica::Delta>(spoilt);
    }
  }
}

TEST(Codec, NothingOverABoundIsTaken) {
  CodecBounds bounds;
  bounds.rumours = 1;
  EXPECT_FALSE(again<membership::Message>(encode(rumours()), bounds));
  bounds = {};
  bounds.name_bytes = 1;
  EXPECT_FALSE(again<membership::Message>(encode(rumours()), bounds));
  bounds = {};
  bounds.items = 1;
  EXPECT_FALSE(again<replica::Delta>(encode(delta()), bounds));
  bounds = {};
  bounds.key_bytes = 4;
  EXPECT_FALSE(again<replica::Delta>(encode(delta()), bounds));
  bounds = {};
  bounds.value_bytes = 1;
  EXPECT_FALSE(again<replica::Delta>(encode(delta()), bounds));
}
