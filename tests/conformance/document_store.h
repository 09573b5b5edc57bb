// SPDX-License-Identifier: MIT
// What a record node holds and how it answers: documents, queries, sort and aggregations, each computed from
// the documents alone. The same code answers for one slice and for all of them, so that what the broker puts
// together can be compared with what one node that holds everything would say.
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
  // The answer to a search's body over one slice, or over those of `slices`; an error's body if it is at
  // fault.
  json::Value search(const std::string& body, const std::vector<int>& slices) const;
  // Does what an operation says ("{"index":{...}}\n{...}\n"); the item's outcome, with its status.
  json::Value write(const std::string& operation, int slice);

 private:
  std::vector<Document> documents_;
  std::int64_t sequence_ = 0;
};

}  // namespace kelpdeal::test
