// SPDX-License-Identifier: MIT
// Configuration and contract parsing: an invalid file is reported in one line that names the field. Also
// checks that the API descriptions match the code.
#include <gtest/gtest.h>

#include <set>

#include "kelpdeal/contract.h"
#include "kelpdeal/frames.h"
#include "kelpdeal/opensearch_front.h"
#include "stand_ins.h"

namespace kelpdeal {
namespace {

json::Value parsed(const std::string& text) {
  std::string error;
  auto value = json::parse(text, error);
  EXPECT_TRUE(value) << error;
  return value ? *value : json::Value();
}

json::Value file(const std::string& name) { return parsed(read_file(KELPDEAL_DEPLOY "/" + name, "file")); }

std::string config() {
  test::TestCluster world({});
  return world.config_text();
}

// Settings as in a deployment, with its classes.
cottonbay::Settings settings() {
  cottonbay::Settings result = parse_config(parsed(config())).settings;
  result.shards = 24;
  return result;
}

TEST(Config, ParseFillsSettingsAndLimits) {
  const Config parsed_config = parse_config(parsed(config()));
  ASSERT_EQ(parsed_config.settings.classes.size(), 3u);
  EXPECT_EQ(parsed_config.settings.classes[0].second_step_parts, 2);
  EXPECT_EQ(parsed_config.settings.classes[0].min_fraction, 0.8);
  EXPECT_EQ(parsed_config.settings.classes[2].effect, cottonbay::Effect::deduplicated);
  EXPECT_TRUE(parsed_config.settings.list_on_request);
  EXPECT_EQ(parsed_config.limits.parts_per_connection, 32u);
  EXPECT_LT(parsed_config.limits.node_idle_timeout, std::chrono::seconds(30));
  EXPECT_LE(parsed_config.limits.max_client_connections + parsed_config.limits.max_node_connections,
            1024u - 64u);
  EXPECT_EQ(parsed_config.known_nodes.nodes.size(), 3u);
  EXPECT_EQ(parsed_config.seed, 0x8c1f30d27a5be964u);
}

TEST(Config, InvalidFieldIsNamedInTheError) {
  const struct {
    const char *from, *to, *field;
  } cases[] = {
      {"\"grades\":", "\"grade\":", "settings.grades"},
      {"\"name\":\"area-report\"", "\"name\":3", "settings.grades.0.name"},
      {"\"effect\":\"deduplicated\"", "\"effect\":\"x\"", "settings.grades.2.effect"},
      {"\"sloMs\":500", "\"sloMs\":\"a\"", "settings.grades.0.sloMs"},
      {"\"batch\":8", "\"batch\":0", "settings.familyInfo.batch"},
      {"\"shards\":6", "\"shards\":1.5", "settings.familyInfo.shards"},
      {"\"multiplex\":32", "\"multiplex\":-1", "settings.limits.multiplex"},
      {"\"cancel\":true", "\"cancel\":\"yes\"", "settings.limits.cancel"},
      {"\"seed\":\"8c", "\"seed\":\"xx", "seed"},
      {"\"state\":\"in_service\"", "\"state\":\"odd\"", "targets.0.state"},
      {"\"uid\":\"n0\"", "\"uid\":0", "targets.0.uid"},
      {"\"settings\":", "\"setting\":", "settings"},
  };
  const std::string good = config();
  for (const auto& c : cases) {
    std::string text = good;
    ASSERT_NE(text.find(c.from), std::string::npos) << c.from;
    text.replace(text.find(c.from), std::string(c.from).size(), c.to);
    try {
      parse_config(parsed(text));
      ADD_FAILURE() << c.to << " was accepted";
    } catch (const ConfigError& e) {
      EXPECT_TRUE(std::string(e.what()).starts_with(std::string("field ") + c.field + ":")) << e.what();
      EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos);
    }
  }
}

TEST(Contract, InvalidFieldIsNamedInTheError) {
  const std::string good =
      R"({"listen":"127.0.0.1:0","indices":{"a":{"class":"area-report","first_slice":0,"slices":4}},)"
      R"("teams":{"t":{"classes":["area-report"],"per_second":2,"burst":2,"concurrent":1}}})";
  const struct {
    const char *from, *to, *field;
  } cases[] = {
      {"\"listen\":\"127.0.0.1:0\"", "\"listen\":1", "listen"},
      {"\"listen\"", "\"node_api\":\"soap\",\"listen\"", "node_api"},
      {"\"listen\"", "\"frame_bytes\":-1,\"listen\"", "frame_bytes"},
      {"\"indices\"", "\"x\"", "indices"},
      {"\"class\":\"area-report\"", "\"class\":\"none\"", "indices.a.class"},
      {"\"slices\":4", "\"slices\":40", "indices.a.slices"},
      {"[\"area-report\"]", "[]", "teams.t.classes"},
      {"[\"area-report\"]", "[\"none\"]", "teams.t.classes"},
      {"\"per_second\":2", "\"per_second\":-1", "teams.t.per_second"},
      {"\"concurrent\":1", "\"concurrent\":0.5", "teams.t.concurrent"},
  };
  EXPECT_EQ(parse_front_contract(parsed(good), parsed(good), parsed(good), settings()).teams.at(0).concurrent,
            1u);
  for (const auto& c : cases) {
    std::string text = good;
    ASSERT_NE(text.find(c.from), std::string::npos) << c.from;
    text.replace(text.find(c.from), std::string(c.from).size(), c.to);
    try {
      parse_front_contract(parsed(text), parsed(text), parsed(text), settings());
      ADD_FAILURE() << c.to << " was accepted";
    } catch (const ConfigError& e) {
      EXPECT_TRUE(std::string(e.what()).starts_with(std::string("field ") + c.field + ":")) << e.what();
    }
  }
}

TEST(Contract, DeployedFilesAreValid) {
  const FrontContract contract = load_front_contract(KELPDEAL_DEPLOY "/opensearch.json", settings());
  EXPECT_EQ(contract.listen, "127.0.0.1:9200");
  EXPECT_EQ(contract.indices.size(), 6u);
  EXPECT_EQ(contract.teams.size(), 3u);
  EXPECT_FALSE(contract.opensearch_nodes);
  EXPECT_EQ(contract.max_frame_bytes, Limits().max_frame_bytes);  // as stated in the AsyncAPI description
  EXPECT_EQ(contract.max_node_list_bytes, Limits().max_node_list_bytes);
}

TEST(TeamQuotas, LimitRateAndConcurrencyPerTeam) {
  TeamContract team{"t", {"a"}, 2, 2, 0};
  TeamContract single{"f", {"a"}, 0, 1, 1};
  TeamQuotas quotas({team, single});
  const TimePoint now = Clock::now();
  EXPECT_EQ(quotas.acquire("x", "a", now).refusal, TeamQuotas::Refusal::unknown_team);
  EXPECT_EQ(quotas.acquire("t", "b", now).refusal, TeamQuotas::Refusal::class_not_agreed);
  EXPECT_TRUE(quotas.acquire("t", "a", now).permit);
  EXPECT_TRUE(quotas.acquire("t", "a", now).permit);
  const TeamQuotas::Decision third = quotas.acquire("t", "a", now);
  EXPECT_FALSE(third.permit);
  EXPECT_EQ(third.refusal, TeamQuotas::Refusal::rate);
  EXPECT_EQ(third.retry_after, Milliseconds(500));
  EXPECT_TRUE(quotas.acquire("t", "a", now + Milliseconds(510)).permit);
  {
    const TeamQuotas::Decision first = quotas.acquire("f", "a", now);
    EXPECT_TRUE(first.permit);
    EXPECT_EQ(quotas.acquire("f", "a", now).refusal, TeamQuotas::Refusal::concurrency);
  }
  EXPECT_TRUE(quotas.acquire("f", "a", now).permit);
}

TEST(ApiDescriptions, OpenApiListsExactlyTheRoutesOfTheFront) {
  std::set<std::string> described, routed;
  const json::Value description = file("openapi.json");
  for (const auto& [path, item] : *description.find("paths")->object())
    for (const auto& [method, operation] : *item.object()) {
      std::string upper = method;
      for (char& c : upper) c = static_cast<char>(std::toupper(c));
      described.insert(upper + " " + path);
    }
  for (const opensearch::Route& route : opensearch::routes())
    routed.insert(std::string(route.method) + " " + route.pattern);
  EXPECT_EQ(described, routed);
}

TEST(ApiDescriptions, AsyncApiListsTheFramesOfTheCodec) {
  const json::Value messages = *file("asyncapi.json").at("components.messages");
  std::set<std::string> letters;
  for (const auto& [name, message] : *messages.object())
    if (message.find("x-letter")) letters.insert(message.text_or("x-letter", ""));
  const std::set<std::string> known = {{frames::kCall},      {frames::kCancel}, {frames::kProbe},
                                       {frames::kLoadProbe}, {frames::kAnswer}, {frames::kUnusable}};
  EXPECT_EQ(letters, known);
  for (const json::Value& example : *messages.at("call.examples")->array()) {
    const std::string payload = example.text_or("payload", "");
    const auto parts = frames::decode_call(payload);
    ASSERT_TRUE(parts) << payload;
    EXPECT_EQ(frames::encode_call(*parts).substr(5), payload);
  }
  for (const json::Value& example : *messages.at("answer.examples")->array())
    EXPECT_TRUE(frames::decode_answer(example.text_or("payload", "")));
}

TEST(ApiDescriptions, AsyncApiListsTheFieldsOfTheNodeList) {
  const json::Value message = *file("asyncapi.json").at("components.messages.nodeList");
  for (const json::Value& example : *message.find("examples")->array())
    EXPECT_EQ(parse_node_list(*example.find("payload")).nodes.at(0).cell, 3);
  // Every node state of the description is accepted by the parser.
  const json::Value states = *message.at("payload.properties.targets.items.properties.state.enum");
  for (const json::Value& state : *states.array()) {
    const std::string list = R"({"rev":1,"targets":[{"uid":"a","state":")" + *state.string() + "\"}]}";
    EXPECT_NO_THROW(parse_node_list(parsed(list)));
  }
}

}  // namespace
}  // namespace kelpdeal
