// SPDX-License-Identifier: MIT
// A small register behind a coordinator, over either kind of record node, for the conformance tests.
#pragma once

#include "../stand_ins.h"
#include "document_store.h"

namespace kelpdeal::test {

// lifts (slices 0, 1) and escalators (2, 3) take documents too; .archive (4) is hidden, year-2026 (5); report
// is all of it in the class of two steps; log takes documents of any make.
FrontContract fixture_contract(Api nodes);
// The documents, always the same.
void add_sample_documents(DocumentStore& documents, const FrontContract& contract);

// What a node that holds them makes of a part.
Answer answer_from(DocumentStore& documents, const Seen& part);

class SearchFixture {
 public:
  explicit SearchFixture(Api nodes, std::function<void(FrontContract&)> adjust = {}, Options options = {});
  World world;
  DocumentStore documents;
  FrontContract contract;
  // Another coordinator, which is asked from now on.
  void move_to_another(const FrontContract& other);
  // What a node does with a part: by default it answers from the documents.
  Answer answer(const Seen& part) { return answer_from(documents, part); }
  Task<http::Response> ask(const char* method, std::string target, std::string body = "",
                           std::string team = "");
  Task<json::Value> get(const char* method, std::string target, std::string body = "") {
    const http::Response response = co_await ask(method, target, body);
    json::Value read;
    if (!response.body.empty()) read = body_of(response);
    co_return read;
  }

 private:
  std::vector<std::unique_ptr<Gateway>> others_;
};

// True if all that `expected` says holds of `actual`: objects may hold more, numbers may differ by rounding.
bool json_contains(const json::Value& expected, const json::Value& actual, std::string& where);
std::vector<std::string> ids_of(const json::Value& answer);

}  // namespace kelpdeal::test
