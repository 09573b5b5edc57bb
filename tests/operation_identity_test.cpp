// SPDX-License-Identifier: MIT
// The identity of writes through the search front (docs/incidents/operation-identity.md and
// docs/incidents/drawn-document-ids.md): the same operation has the same key at the record nodes however it
// arrives, and two that differ have different ones.
#include <gtest/gtest.h>

#include "conformance/search_fixture.h"
#include "kelpdeal/search/operation.h"

namespace kelpdeal::test {
namespace {

using search::identity_of;
using search::Operation;

// Guards against two operations that share an identity, so that one is dropped.
TEST(OperationIdentity, DiffersInEachThingThatTheClientSends) {
  const Operation operation{"key", "team", "index", "id", "routing", false, R"({"a":1})"};
  EXPECT_EQ(identity_of(operation), identity_of(operation));
  EXPECT_EQ(identity_of(operation).size(), 32u);
  std::set<std::string> identities{identity_of(operation)};
  const auto changed = [&](auto change) {
    Operation other = operation;
    change(other);
    return identities.insert(identity_of(other)).second;
  };
  EXPECT_TRUE(changed([](Operation& other) { other.client_key = "kex"; }));
  EXPECT_TRUE(changed([](Operation& other) { other.team = ""; }));
  EXPECT_TRUE(changed([](Operation& other) { other.index = "indey"; }));
  EXPECT_TRUE(changed([](Operation& other) { other.id = ""; }));
  EXPECT_TRUE(changed([](Operation& other) { other.routing = "r"; }));
  EXPECT_TRUE(changed([](Operation& other) { other.create = true; }));
  EXPECT_TRUE(changed([](Operation& other) { other.document = R"({"a":1.0})"; }));
  EXPECT_TRUE(changed([](Operation& other) { other.document = R"({"a":"1"})"; }));
  EXPECT_TRUE(changed([](Operation& other) { other.document = R"({"a":" 1"})"; }));
  // Texts that follow each other are not hashed as one.
  EXPECT_TRUE(changed([](Operation& other) { other.id = "idr", other.routing = "outing"; }));
  EXPECT_TRUE(changed([](Operation& other) { other.client_key = "keyteam", other.team = ""; }));
}

// Guards against a document that is another one alone than on a line of a bulk.
TEST(OperationIdentity, IgnoresWhiteSpaceBetweenTokens) {
  const Operation line{"k", "", "i", "", "", false, R"({"a":[1,"b c"],"d":"\" }"})"};
  Operation lines = line;
  lines.document = "\n{\r\n  \"a\" : [ 1,\t\"b c\" ],\n  \"d\" : \"\\\" }\"\n}\n";
  EXPECT_EQ(identity_of(line), identity_of(lines));
}

// What the record nodes received: key, shard and text of each part.
struct Received {
  std::string key, text;
  int shard = 0;
  bool operator==(const Received&) const = default;
};

class IdentityThroughTheFront : public testing::TestWithParam<Api> {
 protected:
  struct Sent {
    const char* method;
    std::string target, body, key{}, team{};
  };
  // The parts that the nodes received for a request, in the order of their texts. The request goes to a
  // coordinator that has just started, which draws what no other one has drawn.
  std::vector<Received> parts_of(const Sent& sent, json::Value* answer = nullptr) {
    SearchFixture fixture(GetParam());
    std::vector<Received> parts;
    for (auto& node : fixture.world.nodes)
      node->on_part = [&parts](const ReceivedPart& part) {
        parts.push_back({part.key, part.text, part.shard});
        NodeReply reply;
        reply.value = R"({"status":201,"result":"created"})";
        if (part.class_name == "inspection-log" && part.text.find('\n') == std::string::npos)
          reply.value = {};
        return reply;
      };
    fixture.world.run([&]() -> Task<void> {
      http::Request request;
      request.method = sent.method;
      request.target = sent.target;
      request.body = sent.body;
      if (!sent.key.empty()) request.headers.fields.emplace_back("Idempotency-Key", sent.key);
      if (!sent.team.empty()) request.headers.fields.emplace_back("X-Team", sent.team);
      const std::string address = fixture.world.front_address();
      const http::Response response = co_await fixture.world.send(address, std::move(request));
      if (answer) *answer = body_of(response);
      status_ = response.status;
    }());
    std::sort(parts.begin(), parts.end(),
              [](const Received& a, const Received& b) { return a.text < b.text; });
    return parts;
  }
  int status_ = 0;
};

// Guards against an identity made of the item's place in its bulk (review/7).
TEST_P(IdentityThroughTheFront, IsTheSameAloneAndInAnyBulk) {
  const std::string a = R"({"unit":"A","n":12345678901234567890})", b = R"({"unit":"B"})";
  for (const std::string& index : {std::string("log"), std::string("lifts")})
    for (const bool with_id : {true, false}) {
      const auto line = [&](const char* id, const std::string& document) {
        return "{\"index\":{" + (with_id ? "\"_id\":\"" + std::string(id) + "\"" : std::string()) + "}}\n" +
               document + "\n";
      };
      const std::string bulk = "/" + index + "/_bulk?routing=r7", alone = "/" + index + "/_doc";
      const auto both = parts_of({"POST", bulk, line("a", a) + line("b", b), "k1"});
      ASSERT_EQ(both.size(), 2u) << index;
      EXPECT_NE(both[0].key, both[1].key);
      EXPECT_EQ(parts_of({"POST", bulk, line("b", b) + line("a", a), "k1"}), both);
      EXPECT_EQ(parts_of({"POST", bulk, line("b", b), "k1"}), std::vector{both[1]});
      const std::string path = with_id ? alone + "/a" : alone;
      EXPECT_EQ(parts_of({"POST", path + "?routing=r7", a, "k1"}), std::vector{both[0]});
      const auto repeated = parts_of(
          {"POST", path + "?routing=r7", "{\n \"unit\": \"A\",\n \"n\": 12345678901234567890\n}\n", "k1"});
      ASSERT_EQ(repeated.size(), 1u);
      EXPECT_EQ(repeated[0].key, both[0].key);
      EXPECT_EQ(repeated[0].shard, both[0].shard);
      if (index == "lifts") {
        EXPECT_EQ(repeated[0].text, both[0].text);
      }
      const auto other_key = parts_of({"POST", bulk, line("a", a), "k2"});
      ASSERT_EQ(other_key.size(), 1u);
      EXPECT_NE(other_key[0].key, both[0].key);
      const auto other_team = parts_of({"POST", bulk, line("a", a), "k1", "t2"});
      ASSERT_EQ(other_team.size(), 1u);
      EXPECT_NE(other_team[0].key, both[0].key);
    }
}

// Guards against an id that is drawn under a key, so that a repeat is recorded again (review/8).
TEST_P(IdentityThroughTheFront, OfADocumentWithoutIdIsTheSameAtEachCoordinator) {
  for (const char* target : {"/lifts/_doc", "/log/_doc"}) {
    json::Value first_answer, second_answer;
    const auto first = parts_of({"POST", target, R"({"n":1})", "k1"}, &first_answer);
    const auto second = parts_of({"POST", target, R"({"n":1})", "k1"}, &second_answer);
    ASSERT_EQ(first.size(), 1u);
    EXPECT_EQ(first, second) << target;
    EXPECT_EQ(first_answer.text_or("_id", ""), second_answer.text_or("_id", "none"));
    const auto other = parts_of({"POST", target, R"({"n":2})", "k1"});
    ASSERT_EQ(other.size(), 1u);
    EXPECT_NE(other[0].key, first[0].key);
  }
}

// Without a key a repeat cannot be told from another document: both are recorded.
TEST_P(IdentityThroughTheFront, OfADocumentWithNeitherKeyNorIdIsDrawn) {
  SearchFixture fixture(GetParam());
  std::set<std::string> keys;
  for (auto& node : fixture.world.nodes)
    node->on_part = [&keys](const ReceivedPart& part) {
      keys.insert(part.key);
      NodeReply reply;
      reply.value = R"({"status":201,"result":"created"})";
      return reply;
    };
  fixture.world.run([&]() -> Task<void> {
    for (int i = 0; i < 3; ++i) co_await fixture.ask("POST", "/lifts/_doc", R"({"n":1})");
  }());
  EXPECT_EQ(keys.size(), 3u);
}

// Guards against a second document under an id that is dropped as a repeat of the first.
TEST_P(IdentityThroughTheFront, OfTwoDocumentsUnderOneIdDiffers) {
  for (const char* target : {"/lifts/_doc/a", "/log/_doc/a"}) {
    const auto first = parts_of({"PUT", target, R"({"n":1})"}),
               second = parts_of({"PUT", target, R"({"n":2})"});
    ASSERT_EQ(first.size(), 1u);
    ASSERT_EQ(second.size(), 1u);
    EXPECT_NE(first[0].key, second[0].key) << target;
    EXPECT_EQ(first[0].shard, second[0].shard);
  }
}

// Guards against an index that the clock chooses, and a malformed key of a bulk.
TEST_P(IdentityThroughTheFront, NeedsAnIndexThatARepeatNamesAgain) {
  json::Value answer;
  parts_of({"POST", "/%3Cyear-%7Bnow%7Byyyy%7D%7D%3E/_doc", R"({"n":1})", "k1"}, &answer);
  EXPECT_EQ(status_, 400);
  EXPECT_NE(answer.text_or("error.reason", "").find("without date math"), std::string::npos);
  parts_of({"POST", "/lifts/_bulk", "{\"index\":{}}\n{}\n", "k 1"}, &answer);
  EXPECT_EQ(status_, 400);
  EXPECT_NE(answer.text_or("error.reason", "").find("malformed"), std::string::npos);
}

// A document keeps its numbers and its depth when it is put on one line.
TEST_P(IdentityThroughTheFront, DocumentOnSeveralLinesIsSentUnchanged) {
  const std::string deep = std::string(60, '[') + "12345678901234567890" + std::string(60, ']');
  const auto parts = parts_of({"PUT", "/lifts/_doc/a", "{\n\"n\" : " + deep + "\n}"});
  ASSERT_EQ(parts.size(), 1u);
  EXPECT_NE(parts[0].text.find("{\"n\":" + deep + "}"), std::string::npos) << parts[0].text;
}

INSTANTIATE_TEST_SUITE_P(Nodes, IdentityThroughTheFront, testing::Values(Api::platform, Api::opensearch),
                         node_api_name);

}  // namespace
}  // namespace kelpdeal::test
