// SPDX-License-Identifier: MIT
// Test fixture: a coordinator with record nodes of either kind that hold a fixed set of documents.
#pragma once

#include "../stand_ins.h"
#include "document_store.h"

namespace kelpdeal::test {

// Indices: lifts (slices 0 and 1) and escalators (2 and 3), which also accept documents; .archive (4),
// hidden; year-2026 (5); report (0 to 4), in a class with two steps; log (0 to 5), which accepts any
// document.
FrontContract fixture_contract(Api nodes);
// Adds the fixed set of documents.
void add_sample_documents(DocumentStore& documents, const FrontContract& contract);

// The response of a node that holds `documents` to a part.
NodeReply answer_from(DocumentStore& documents, const ReceivedPart& part);

class SearchFixture {
 public:
  explicit SearchFixture(Api nodes, std::function<void(FrontContract&)> adjust = {},
                         ClusterOptions options = {});
  TestCluster world;
  DocumentStore documents;
  FrontContract contract;
  // Starts another coordinator, to which later requests are sent.
  void move_to_another(const FrontContract& other);
  // The nodes' default response to a part, from the documents.
  NodeReply answer(const ReceivedPart& part) { return answer_from(documents, part); }
  Task<http::Response> ask(const char* method, std::string target, std::string body = "",
                           std::string team = "");
  Task<json::Value> get(const char* method, std::string target, std::string body = "") {
    const http::Response response = co_await ask(method, target, body);
    json::Value read;
    if (!response.body.empty()) read = body_of(response);
    co_return read;
  }

 private:
  std::vector<std::unique_ptr<Gateway>> coordinators_;
};

// True if `actual` contains everything in `expected`: objects may have more members, numbers may differ by
// rounding. On failure, `where` describes the difference.
bool json_contains(const json::Value& expected, const json::Value& actual, std::string& where);
std::vector<std::string> ids_of(const json::Value& answer);

}  // namespace kelpdeal::test
