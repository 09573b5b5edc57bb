// SPDX-License-Identifier: MIT
#include "search_fixture.h"

#include <cmath>

#include "kelpdeal/opensearch_front.h"

namespace kelpdeal::test {
namespace {

json::Value parse(const char* text) {
  std::string error;
  auto value = json::parse(text, error);
  EXPECT_TRUE(value) << error;
  return value ? *value : json::Value();
}

ClusterOptions with_nodes(ClusterOptions options, Api nodes) {
  options.front = Api::opensearch;
  options.nodes = nodes;
  return options;
}

}  // namespace

FrontContract fixture_contract(Api nodes) {
  FrontContract contract;
  contract.listen = "127.0.0.1:0";
  contract.opensearch_nodes = nodes == Api::opensearch;
  const json::Value fields = parse(
      R"({"register":{"type":"keyword"},"site":{"type":"keyword"},"maker":{"type":"text","fields":{"raw":{"type":"keyword"}}},
          "faults":{"type":"long"},"height":{"type":"double"},"installed":{"type":"date"},"owner":{"properties":{"name":{"type":"keyword"}}}})");
  const json::Value derby = parse(R"({"term":{"site":"derby"}})"),
                    many_faults = parse(R"({"range":{"faults":{"gte":3}}})");
  const auto index = [&](const char* name, int first, int slices) {
    IndexContract one{name, "equipment-search", first, slices};
    one.write_class = "inspection-log";
    one.properties = fields;
    return one;
  };
  contract.indices = {
      index("lifts", 0, 2),     index("escalators", 2, 2),       index(".archive", 4, 1),
      index("year-2026", 5, 1), {"report", "area-report", 0, 5}, {"log", "inspection-log", 0, 6}};
  contract.indices[0].aliases = {{"equipment", {}}, {"derby", derby}, {"faulty", many_faults}};
  contract.indices[1].aliases = {{"equipment", {}}, {"derby", derby}};
  contract.indices[1].properties.object()->emplace_back("steps", parse(R"({"type":"integer"})"));
  contract.indices[2].hidden = true;
  return contract;
}

void add_sample_documents(DocumentStore& documents, const FrontContract& contract) {
  static constexpr const char* sites[] = {"derby", "leicester", "nottingham"};
  static constexpr const char* makers[] = {"Otis Express", "Kone Mono", "Schindler Express", "Otis Mono"};
  static constexpr const char* indices[] = {"lifts",      "lifts",    "escalators", "lifts",
                                            "escalators", ".archive", "year-2026"};
  for (int i = 0; i < 63; ++i) {
    const std::string number = std::to_string(1000 + i).substr(1);
    json::Object source{
        {"register", "R-" + number}, {"site", sites[i * 7 % 3]}, {"maker", makers[i * 5 % 4]}};
    if (i % 6 != 5) source.emplace_back("faults", i * 11 % 9);
    if (i % 4 != 3) source.emplace_back("height", static_cast<double>(i * 13 % 17) * 0.25);
    source.emplace_back("installed",
                        std::int64_t{1'767'225'600'000} + std::int64_t{86'400'000} * (i * 17 % 120));
    if (i % 5 == 0) source.emplace_back("tags", json::Array{"old", i % 2 ? "tall" : "low"});
    source.emplace_back("active", i % 3 == 0);
    source.emplace_back("big", std::int64_t{9'007'199'254'740'993} + i % 7);
    source.emplace_back("owner", json::Object{{"name", "owner-" + std::to_string(i % 4)}});
    const std::string name = indices[i % 7], id = "d" + number;
    for (const IndexContract& index : contract.indices)
      if (index.name == name)
        documents.add({id, opensearch::slice_for_routing(index, id), 1, i, std::move(source)});
  }
}

SearchFixture::SearchFixture(Api nodes, std::function<void(FrontContract&)> adjust, ClusterOptions options)
    : world(with_nodes(std::move(options), nodes)), contract(fixture_contract(nodes)) {
  add_sample_documents(documents, contract);
  if (adjust) adjust(contract);
  for (auto& node : world.nodes) node->on_part = [this](const ReceivedPart& part) { return answer(part); };
  world.start(contract);
}

void SearchFixture::move_to_another(const FrontContract& other) {
  std::string error;
  Config config = parse_config(*json::parse(world.config_text(), error));
  config.seed += coordinators_.size() + 1;
  coordinators_.push_back(std::make_unique<Gateway>(world.scheduler, config, other));
}

NodeReply answer_from(DocumentStore& documents, const ReceivedPart& part) {
  NodeReply out;
  const bool operation =
      part.text.starts_with("{\"index\":{\"_index\"") || part.text.starts_with("{\"create\":{\"_index\"");
  const json::Value value = operation        ? documents.write(part.text, part.shard)
                            : part.key != "" ? json::Value(json::Object{{"result", "created"}})
                                             : documents.search(part.text, {part.shard});
  out.value = json::write(value);
  out.score = value.number_or("hits.max_score", 0);
  return out;
}

Task<http::Response> SearchFixture::ask(const char* method, std::string target, std::string body,
                                        std::string team) {
  http::Request request;
  request.method = method;
  request.target = target;
  request.body = body;
  if (!team.empty()) request.headers.fields.emplace_back("X-Team", team);
  const Gateway& coordinator = coordinators_.empty() ? *world.gateway : *coordinators_.back();
  const std::string address = coordinator.search_address();
  co_return co_await world.send(address, std::move(request));
}

bool json_contains(const json::Value& expected, const json::Value& actual, std::string& where) {
  const auto report = [&](const std::string& what) {
    where = what + where;
    return false;
  };
  if (const json::Object* members = expected.object()) {
    if (!actual.object()) return report(" is not an object: " + json::write(actual));
    for (const auto& [name, value] : *members) {
      if (name == "$any") return true;
      const json::Value* found = actual.find(name);
      if (!found) return report("." + name + " is missing");
      if (!json_contains(value, *found, where)) return report("." + name);
    }
    return true;
  }
  if (const json::Array* items = expected.array()) {
    if (!actual.array() || actual.array()->size() != items->size())
      return report(" expected " + json::write(expected) + ", got " + json::write(actual));
    for (std::size_t i = 0; i < items->size(); ++i)
      if (!json_contains((*items)[i], (*actual.array())[i], where))
        return report("[" + std::to_string(i) + "]");
    return true;
  }
  if (expected.number() && actual.number()) {
    const double x = *expected.number(), y = *actual.number();
    if (std::abs(x - y) <= 1e-9 * std::max({1.0, std::abs(x), std::abs(y)}) &&
        expected.integer() == actual.integer())
      return true;
    if (std::abs(x - y) <= 1e-9 * std::max(std::abs(x), std::abs(y)) && !expected.integer()) return true;
  }
  if (expected.string() && expected.string()->starts_with("*") && actual.string())
    return actual.string()->find(expected.string()->substr(1)) != std::string::npos
               ? true
               : report(" expected to contain " + *expected.string() + ", got " + *actual.string());
  return expected == actual ? true
                            : report(" expected " + json::write(expected) + ", got " + json::write(actual));
}

std::vector<std::string> ids_of(const json::Value& answer) {
  std::vector<std::string> ids;
  const json::Value* hits = answer.at("hits.hits");
  if (hits && hits->array())
    for (const json::Value& hit : *hits->array()) ids.push_back(hit.text_or("_id", "?"));
  return ids;
}

}  // namespace kelpdeal::test
