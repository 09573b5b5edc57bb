// SPDX-License-Identifier: MIT
// libFuzzer targets for the parsers of external input. KELPDEAL_TARGET selects one. Besides the absence of
// crashes they check properties: input in pieces is parsed like input as a whole, and written values parse
// back to the same values.
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
#include "kelpdeal/search/operation.h"
#include "kelpdeal/search/reduce.h"
#include "kelpdeal/search/request.h"
#include "kelpdeal/search/template.h"

namespace {

using namespace kelpdeal;

void check(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "check failed: %s\n", what);
  std::abort();
}

// Splits the bytes into pieces whose sizes depend on the bytes.
template <typename F>
void in_pieces(const std::string& bytes, F take) {
  std::size_t at = 0, piece_size = 1;
  while (at < bytes.size()) {
    piece_size = 1 + (piece_size * 31 + static_cast<unsigned char>(bytes[at])) % 23;
    take(bytes.substr(at, piece_size));
    at += piece_size;
  }
}

// ---- http ----
template <typename Message>
std::string read_http(const std::string& bytes, bool pieces) {
  http::Parser<Message> parser({512, 20, 2000});
  std::string out;
  const auto read_available = [&] {
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
    read_available();
    return out;
  }
  bool more = true;
  in_pieces(bytes, [&](const std::string& piece) {
    if (!more) return;
    parser.feed(piece);
    more = read_available();
  });
  return out;
}

void fuzz_http(const std::string& bytes) {
  check(read_http<http::Request>(bytes, false) == read_http<http::Request>(bytes, true),
        "a request in pieces is parsed like a whole one");
  check(read_http<http::Response>(bytes, false) == read_http<http::Response>(bytes, true),
        "a response in pieces is parsed like a whole one");
  http::Request request;
  request.target = bytes;
  request.parameters();
}

// ---- json ----
void walk(std::string_view text, int depth) {
  if (depth > 8) return;
  json::Scanner scanner(text);
  while (scanner.next()) walk(scanner.raw(), depth + 1);
}

void fuzz_json(const std::string& bytes) {
  std::string error;
  const auto value = json::parse(bytes, error);
  check(value.has_value() == json::valid(bytes, {}), "valid() and parse() agree");
  walk(bytes, 0);
  std::vector<std::string> items;
  json::ItemStream stream("responses", 1 << 16);
  in_pieces(bytes, [&](const std::string& piece) {
    stream.feed(piece);
    while (auto item = stream.next()) items.push_back(std::move(*item));
  });
  if (!value) return;
  const std::string written = json::write(*value);
  const auto reparsed = json::parse(written, error);
  check(reparsed && *reparsed == *value, "a written value parses back");
  check(json::parse(json::write_pretty(*value), error) == value, "a pretty-printed value parses back");
  // The stream returns exactly the items of the member "responses"; if several arrays have that name, the
  // items of all of them.
  const json::Object* members = value->object();
  if (!members || bytes.size() > 4000) return;
  json::Array expected_items;
  bool escaped = false;
  for (const auto& [name, member] : *members) {
    if (name == "responses" && member.array())
      expected_items.insert(expected_items.end(), member.array()->begin(), member.array()->end());
    escaped |= name == "responses" && bytes.find("\"responses\"") == std::string::npos;
  }
  if (escaped || bytes.find('\\') != std::string::npos) return;
  check(items.size() == expected_items.size(), "the stream returns every item");
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto item = json::parse(items[i], error);
    check(item && *item == expected_items[i], "the stream returns the items unchanged");
  }
}

// ---- bulks ----
std::string read_bulk(const std::string& bytes, bool pieces) {
  search::LineSplitter lines(300);
  search::BulkParser reader("lifts", {});
  std::string out;
  const auto read_available = [&] {
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
      more = read_available();
      check(lines.buffered_bytes() <= 300 + 32 || lines.line_too_long(), "at most one line is buffered");
    });
  } else {
    lines.feed(bytes);
    more = read_available();
  }
  if (more && !lines.line_too_long()) {
    lines.finish();
    read_available();
  }
  return out;
}

void fuzz_bulk(const std::string& bytes) {
  check(read_bulk(bytes, false) == read_bulk(bytes, true), "a bulk in pieces is parsed like a whole one");
  const search::Operation operation{bytes, "a", "b", "c", bytes, false, bytes};
  for (const char c : search::identity_of(operation))
    check(std::isxdigit(static_cast<unsigned char>(c)), "a write key is hexadecimal");
}

// ---- cursors ----
void fuzz_cursor(const std::string& bytes) {
  static const search::CursorSigner signer = [] {
    search::CursorKey key;
    key.name = "k";
    key.secret.fill(7);
    return search::CursorSigner({key});
  }();
  check(!signer.verify(bytes), "an id that was not sealed does not open");
  const std::string id = signer.sign(bytes);
  check(signer.verify(id) == bytes, "a sealed id opens");
  std::string altered = id;
  altered[bytes.size() % altered.size()] ^= 1;
  const auto opened = signer.verify(altered);
  check(!opened || altered == id, "an altered id does not open");
  std::string problem;
  search::parse_cursor_keys(bytes, problem);
  std::string error;
  if (const auto value = json::parse(bytes, error))
    if (const auto cursor = search::cursor_from_json(*value)) {
      const auto reparsed = search::cursor_from_json(search::cursor_to_json(*cursor));
      check(reparsed && reparsed->indices == cursor->indices, "a cursor keeps its indices");
      check(cursor->kind == search::Cursor::Kind::point_in_time ||
                reparsed->finished_slices == cursor->finished_slices,
            "a cursor keeps its finished slices");
    }
}

// ---- frames ----
void fuzz_frames(const std::string& bytes) {
  const auto read = [&](bool pieces) {
    frames::Reader reader(1000);
    std::string out;
    const auto read_available = [&] {
      while (const auto frame = reader.next()) out += std::string(1, frame->type) + frame->payload + "|";
    };
    if (pieces)
      in_pieces(bytes, [&](const std::string& piece) { reader.feed(piece), read_available(); });
    else
      reader.feed(bytes), read_available();
    return out;
  };
  check(read(false) == read(true), "frames in pieces are parsed like whole ones");
  if (const auto parts = frames::decode_call(bytes))
    check(frames::decode_call(frames::encode_call(*parts).substr(5)).has_value(),
          "a decoded call can be encoded and decoded again");
  frames::decode_answer(bytes);
}

// ---- searches ----
void fuzz_search(const std::string& bytes) {
  const std::size_t cut = bytes.find('\n');
  const std::string body = bytes.substr(0, cut),
                    value = cut == std::string::npos ? "" : bytes.substr(cut + 1);
  std::string error;
  const auto parsed_body = json::parse(body, error);
  if (!parsed_body) return;
  try {
    search::Parameters parameters;
    search::SearchBounds bounds;
    bounds.aggregations.max_buckets = 500;
    const search::SearchRequest request = search::parse_search(*parsed_body, parameters, bounds);
    const std::string text = search::slice_request_text(request, {});
    const auto slice_body = json::parse(text, error);
    check(slice_body.has_value(), "the text for a slice is JSON");
    search::Parameters none;
    if (!request.total_order && !request.pit_id) search::parse_search(*slice_body, none, bounds);
    search::Reducer reducer(request, bounds.aggregations, [](int) { return std::string("i"); });
    for (int slice = 0; slice < 2; ++slice)
      if (reducer.usable(1, slice, value)) reducer.take(1, slice, 1, value);
    check(reducer.hit_count() <= request.from + request.size, "no more hits are kept than the page needs");
    const search::Page page = reducer.page(true);
    for (const json::Value& hit : page.hits) check(json::valid(json::write(hit)), "a hit is JSON");
    if (page.aggregations) check(json::valid(json::write(*page.aggregations)), "the aggregations are JSON");
    search::filter_path(*parsed_body, value.substr(0, 200));
  } catch (const search::ApiError& e) {
    check(e.status >= 400 && e.status < 600 && !e.reason.empty(), "an error has a status and a reason");
  }
  try {
    search::TemplateBudget budget;
    search::render_template(body, *parsed_body, 5000, {}, budget);
  } catch (const search::ApiError&) {
  }
}

}  // namespace

extern "C" int LLVMFuzzerInitialize(int*, char***) { return sodium_init() < 0; }

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  KELPDEAL_TARGET(std::string(reinterpret_cast<const char*>(data), size));
  return 0;
}
