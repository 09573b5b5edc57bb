// SPDX-License-Identifier: MIT
// A reference implementation of a record node's search: documents, queries, sorting and aggregations, each
// computed directly from the documents. The same code answers for one slice and for all of them, so that the
// broker's merged response can be compared with that of one node that holds everything.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kelpdeal/json.h"

namespace kelpdeal::test {

struct Document {
  std::string id;
  int slice = 0;
  std::int64_t version = 1, sequence = 0;
  json::Value source;
};

class DocumentStore {
 public:
  void add(Document document) { documents_.push_back(std::move(document)); }
  std::size_t size() const { return documents_.size(); }
  // Searches the documents of `slices`. Returns a search response, or an error body for an invalid request.
  json::Value search(const std::string& body, const std::vector<int>& slices) const;
  // Executes a write operation ("{"index":{...}}\n{...}\n"). Returns the item's result with its status.
  json::Value write(const std::string& operation, int slice);

 private:
  std::vector<Document> documents_;
  std::int64_t sequence_ = 0;
};

}  // namespace kelpdeal::test
