// SPDX-License-Identifier: MIT
// libFuzzer targets for everything that reads what others wrote. KELPDEAL_TARGET picks one. Each checks more
// than that nothing crashes: what comes in pieces reads like what comes whole, what is written reads back.
#include <sodium.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "kelpdeal/frames.h"
#include "kelpdeal/http.h"
#include "kelpdeal/json.h"
#include "kelpdeal/search/bulk.h"
#include "kelpdeal/search/cursor.h"
#include "kelpdeal/search/filter_path.h"
#include "kelpdeal/search/reduce.h"
#include "kelpdeal/search/request.h"
#include "kelpdeal/search/template.h"

namespace {

using namespace kelpdeal;

void need(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "does not hold: %s\n", what);
  std::abort();
}

// The bytes, cut in pieces whose sizes they decide themselves.
template <typename F>
void in_pieces(const std::string& bytes, F take) {
  std::size_t at = 0, step = 1;
  while (at < bytes.size()) {
    step = 1 + (step * 31 + static_cast<unsigned char>(bytes[at])) % 23;
    take(bytes.substr(at, step));
    at += step;
  }
}

// ---- http ----
template <typename Message>
std::string read_http(const std::string& bytes, bool pieces) {
  http::Parser<Message> parser({512, 20, 2000});
  std::string out;
  const auto go = [&] {
    for (;;) {
      const http::State state = parser.advance();
      if (state != http::State::done) {
        if (state == http::State::bad) out += "bad " + std::to_string(parser.status());
        return state == http::State::more;
      }
      const Message message = parser.take();
      out += http::write(message) + "|";
    }
  };
  if (!pieces) {
    parser.feed(bytes);
    go();
    return out;
  }
  bool more = true;
  in_pieces(bytes, [&](const std::string& piece) {
    if (!more) return;
    parser.feed(piece);
    more = go();
  });
  return out;
}

void fuzz_http(const std::string& bytes) {
  need(read_http<http::Request>(bytes, false) == read_http<http::Request>(bytes, true),
       "a request in pieces");
  need(read_http<http::Response>(bytes, false) == read_http<http::Response>(bytes, true),
       "a response in pieces");
  http::Request request;
  request.target = bytes;
  request.parameters();
}

// ---- json ----
void walk(std::string_view text, int depth) {
  if (depth > 8) return;
  json::Walk walk_of(text);
  while (walk_of.next()) walk(walk_of.raw(), depth + 1);
}

void fuzz_json(const std::string& bytes) {
  std::string error;
  const auto value = json::parse(bytes, error);
  need(value.has_value() == json::valid(bytes, {}), "valid() says what parse() says");
  walk(bytes, 0);
  std::vector<std::string> items;
  json::ItemStream stream("responses", 1 << 16);
  in_pieces(bytes, [&](const std::string& piece) {
    stream.feed(piece);
    while (auto item = stream.next()) items.push_back(std::move(*item));
  });
  if (!value) return;
  const std::string written = json::write(*value);
  const auto again = json::parse(written, error);
  need(again && *again == *value, "what is written reads back");
  need(json::parse(json::write_pretty(*value), error) == value, "so does the pretty form");
  // An object's list, item by item, is the list. Of two lists of one name all items come.
  const json::Object* members = value->object();
  if (!members || bytes.size() > 4000) return;
  json::Array listed;
  bool escaped = false;
  for (const auto& [name, member] : *members) {
    if (name == "responses" && member.array())
      listed.insert(listed.end(), member.array()->begin(), member.array()->end());
    escaped |= name == "responses" && bytes.find("\"responses\"") == std::string::npos;
  }
  if (escaped || bytes.find('\\') != std::string::npos) return;
  need(items.size() == listed.size(), "as many items");
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto item = json::parse(items[i], error);
    need(item && *item == listed[i], "the same items");
  }
}

// ---- bulks ----
std::string read_bulk(const std::string& bytes, bool pieces) {
  search::LineSplitter lines(300);
  search::BulkParser reader("lifts", {});
  std::string out;
  const auto go = [&] {
    try {
      while (const auto line = lines.next())
        if (const auto item = reader.add_line(*line))
          out += std::string(item->action_name()) + item->index + item->id + item->routing + item->problem +
                 item->document + "|";
    } catch (const search::ApiError& e) {
      out += e.reason;
      return false;
    }
    return true;
  };
  bool more = true;
  if (pieces) {
    in_pieces(bytes, [&](const std::string& piece) {
      if (!more) return;
      lines.feed(piece);
      more = go();
      need(lines.buffered_bytes() <= 300 + 32 || lines.line_too_long(), "no more than a line is held");
    });
  } else {
    lines.feed(bytes);
    more = go();
  }
  if (more && !lines.line_too_long()) {
    lines.finish();
    go();
  }
  return out;
}

void fuzz_bulk(const std::string& bytes) {
  need(read_bulk(bytes, false) == read_bulk(bytes, true), "a bulk in pieces");
  for (char c : search::idempotency_key(bytes, "a", "b", "c"))
    need(std::isxdigit(static_cast<unsigned char>(c)), "a key is plain");
}

// ---- cursors ----
void fuzz_cursor(const std::string& bytes) {
  static const search::CursorSigner signer = [] {
    search::CursorKey key;
    key.name = "k";
    key.secret.fill(7);
    return search::CursorSigner({key});
  }();
  need(!signer.verify(bytes), "nobody forges an id");
  const std::string id = signer.sign(bytes);
  need(signer.verify(id) == bytes, "an id opens");
  std::string altered = id;
  altered[bytes.size() % altered.size()] ^= 1;
  const auto opened = signer.verify(altered);
  need(!opened || altered == id, "an altered id does not");
  std::string problem;
  search::parse_cursor_keys(bytes, problem);
  std::string error;
  if (const auto value = json::parse(bytes, error))
    if (const auto cursor = search::cursor_from_json(*value)) {
      const auto again = search::cursor_from_json(search::cursor_to_json(*cursor));
      need(again && again->indices == cursor->indices, "a cursor reads back");
      need(cursor->kind == search::Cursor::Kind::point_in_time ||
               again->finished_slices == cursor->finished_slices,
           "with its slices");
    }
}

// ---- frames ----
void fuzz_frames(const std::string& bytes) {
  const auto read = [&](bool pieces) {
    frames::Reader reader(1000);
    std::string out;
    const auto go = [&] {
      while (const auto frame = reader.next()) out += std::string(1, frame->letter) + frame->rest + "|";
    };
    if (pieces)
      in_pieces(bytes, [&](const std::string& piece) { reader.feed(piece), go(); });
    else
      reader.feed(bytes), go();
    return out;
  };
  need(read(false) == read(true), "frames in pieces");
  if (const auto parts = frames::decode_call(bytes))
    need(frames::decode_call(frames::encode_call(*parts).substr(5)).has_value(), "a call reads back");
  frames::decode_answer(bytes);
}

// ---- searches ----
void fuzz_search(const std::string& bytes) {
  const std::size_t cut = bytes.find('\n');
  const std::string body = bytes.substr(0, cut),
                    value = cut == std::string::npos ? "" : bytes.substr(cut + 1);
  std::string error;
  const auto asked = json::parse(body, error);
  if (!asked) return;
  try {
    search::Parameters parameters;
    search::SearchBounds bounds;
    bounds.aggregations.max_buckets = 500;
    const search::SearchRequest request = search::parse_search(*asked, parameters, bounds);
    const std::string text = search::slice_request_text(request, {});
    const auto form = json::parse(text, error);
    need(form.has_value(), "a slice is asked in JSON");
    search::Parameters none;
    if (!request.total_order && !request.pit_id) search::parse_search(*form, none, bounds);
    search::Reducer reducer(request, bounds.aggregations, [](int) { return std::string("i"); });
    for (int slice = 0; slice < 2; ++slice)
      if (reducer.usable(1, slice, value)) reducer.take(1, slice, 1, value);
    need(reducer.hit_count() <= request.from + request.size, "no more is held than shown");
    const search::Page page = reducer.page(true);
    for (const json::Value& hit : page.hits) need(json::valid(json::write(hit)), "a hit is JSON");
    if (page.aggregations) need(json::valid(json::write(*page.aggregations)), "so are buckets");
    search::filter_path(*asked, value.substr(0, 200));
  } catch (const search::ApiError& e) {
    need(e.status >= 400 && e.status < 600 && !e.reason.empty(), "an error says what is wrong");
  }
  try {
    search::render_template(body, *asked, 5000, {});
  } catch (const search::ApiError&) {
  }
}

}  // namespace

extern "C" int LLVMFuzzerInitialize(int*, char***) { return sodium_init() < 0; }

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  KELPDEAL_TARGET(std::string(reinterpret_cast<const char*>(data), size));
  return 0;
}
