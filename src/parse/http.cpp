// SPDX-License-Identifier: MIT
#include "kelpdeal/http.h"

#include <algorithm>
#include <charconv>
#include <type_traits>

namespace kelpdeal::http {
namespace {

constexpr std::size_t kMaxChunkSizeLineBytes = 256;

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool is_token(std::string_view text) {
  static constexpr std::string_view others = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
           others.find(c) != std::string_view::npos;
  });
}

bool has_controls(std::string_view text) {
  return std::any_of(text.begin(), text.end(),
                     [](char c) { return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f; });
}

bool whole_number(std::string_view text, std::size_t& value, int base) {
  const auto got = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return !text.empty() && got.ec == std::errc() && got.ptr == text.data() + text.size();
}

// The minor version of "HTTP/1.x"; negative for any other text.
int minor_version_of(std::string_view version) {
  if (version.size() != 8 || !version.starts_with("HTTP/1.")) return -1;
  return version[7] == '0' || version[7] == '1' ? version[7] - '0' : -1;
}

bool keeps_connection_alive(const Headers& headers, int minor_version) {
  return minor_version == 0 ? headers.has_token("connection", "keep-alive")
                            : !headers.has_token("connection", "close");
}

void append_fields(std::string& out, const Headers& headers) {
  for (const auto& [name, value] : headers.fields) out += name + ": " + value + "\r\n";
}

}  // namespace

const std::string* Headers::find(std::string_view name) const {
  for (const auto& [key, value] : fields)
    if (equals_ignoring_case(key, name)) return &value;
  return nullptr;
}

bool Headers::has_token(std::string_view name, std::string_view token) const {
  for (const auto& [key, value] : fields) {
    if (!equals_ignoring_case(key, name)) continue;
    for (std::size_t at = 0; at <= value.size();) {
      const std::size_t end = std::min(value.find(',', at), value.size());
      if (equals_ignoring_case(trim(std::string_view(value).substr(at, end - at)), token)) return true;
      at = end + 1;
    }
  }
  return false;
}

bool Request::keeps_alive() const { return keeps_connection_alive(headers, minor_version); }
bool Response::keeps_alive() const { return keeps_connection_alive(headers, minor_version); }

std::vector<std::pair<std::string, std::string>> Request::parameters() const {
  std::vector<std::pair<std::string, std::string>> found;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return found;
  const std::string_view all = std::string_view(target).substr(mark + 1);
  for (std::size_t at = 0; at <= all.size();) {
    const std::size_t end = std::min(all.find('&', at), all.size());
    const std::string_view pair = all.substr(at, end - at);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (!pair.empty())
      found.emplace_back(percent_decode(pair.substr(0, equals)),
                         percent_decode(equals < pair.size() ? pair.substr(equals + 1) : std::string_view()));
    at = end + 1;
  }
  return found;
}

std::optional<std::string> Request::parameter(std::string_view name) const {
  for (auto& [key, value] : parameters())
    if (key == name) return value;
  return std::nullopt;
}

std::string percent_decode(std::string_view text, bool plus_is_space) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned code = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ptr == text.data() + i + 3) {
      out += static_cast<char>(code);
      i += 2;
    } else {
      out += text[i] == '+' && plus_is_space ? ' ' : text[i];
    }
  }
  return out;
}

template <typename Message>
State Parser<Message>::bad(int status, std::string problem) {
  stage_ = Stage::bad;
  status_ = status;
  problem_ = std::move(problem);
  return State::bad;
}

// Sets `text` to the buffer's first line without its line ending, and remaining_ to the line's length
// including the ending. The line stays in the buffer. False if the line is incomplete.
template <typename Message>
bool Parser<Message>::peek_line(std::string_view& text) {
  const std::size_t end = buffer_.view().find('\n');
  if (end == std::string::npos) return false;
  text = buffer_.view().substr(0, end);
  if (text.ends_with('\r')) text.remove_suffix(1);
  remaining_ = end + 1;
  return true;
}

template <>
bool Parser<Request>::parse_start_line(std::string_view text) {
  const std::size_t first = text.find(' '), last = text.rfind(' ');
  if (first == std::string_view::npos || first == last) return bad(400, "bad request line"), false;
  message_.method = text.substr(0, first);
  message_.target = text.substr(first + 1, last - first - 1);
  message_.minor_version = minor_version_of(text.substr(last + 1));
  if (message_.minor_version < 0) return bad(505, "unknown HTTP version"), false;
  if (!is_token(message_.method) || message_.target.empty() || has_controls(message_.target) ||
      message_.target.find(' ') != std::string::npos)
    return bad(400, "bad request line"), false;
  return true;
}

template <>
bool Parser<Response>::parse_start_line(std::string_view text) {
  message_.minor_version = minor_version_of(text.substr(0, 8));
  std::size_t status = 0;
  if (message_.minor_version < 0 || text.size() < 12 || text[8] != ' ' ||
      !whole_number(text.substr(9, 3), status, 10) || (text.size() > 12 && text[12] != ' '))
    return bad(400, "bad status line"), false;
  message_.status = static_cast<int>(status);
  return true;
}

template <typename Message>
bool Parser<Message>::parse_field(std::string_view text) {
  const std::size_t colon = text.find(':');
  const std::string_view name = text.substr(0, colon);
  if (colon == std::string_view::npos || !is_token(name)) return bad(400, "bad header field"), false;
  const std::string_view value = trim(text.substr(colon + 1));
  if (has_controls(value)) return bad(400, "bad header field"), false;
  if (message_.headers.fields.size() >= bounds_.fields) return bad(431, "too many header fields"), false;
  message_.headers.fields.emplace_back(name, value);
  return true;
}

// Determines from the head how the body is delimited.
template <typename Message>
bool Parser<Message>::parse_framing() {
  const std::string* coding = message_.headers.find("transfer-encoding");
  const std::string* length = nullptr;
  for (const auto& [name, value] : message_.headers.fields) {
    if (!equals_ignoring_case(name, "content-length")) continue;
    // Rejects conflicting lengths, and below a length together with chunked coding: intermediaries could
    // interpret them differently (request smuggling).
    if (length && *length != value) return bad(400, "two lengths"), false;
    length = &value;
  }
  if (coding) {
    if (!equals_ignoring_case(trim(*coding), "chunked")) return bad(501, "unknown transfer coding"), false;
    if (length) return bad(400, "a length beside chunks"), false;
    stage_ = Stage::chunk_size;
    return true;
  }
  remaining_ = 0;
  if (length && (!whole_number(*length, remaining_, 10) || length->front() == '+'))
    return bad(400, "bad length"), false;
  if (remaining_ > max_body_) return bad(413, "body too large"), false;
  stage_ = Stage::length;
  if constexpr (std::is_same_v<Message, Response>) {
    const bool empty = message_.status == 204 || message_.status == 304 || message_.status < 200;
    if (empty) remaining_ = 0;
    if (!length && !empty) stage_ = Stage::until_end;
  }
  return true;
}

template <typename Message>
State Parser<Message>::advance() {
  std::string_view text;
  for (;;) {
    switch (stage_) {
      case Stage::start:
      case Stage::head: {
        if (!peek_line(text)) {
          if (buffer_.size() + head_bytes_ > bounds_.head) return bad(431, "head too large");
          return State::more;
        }
        head_bytes_ += remaining_;
        if (head_bytes_ > bounds_.head) return bad(431, "head too large");
        if (stage_ == Stage::start) {
          if (!text.empty()) {  // empty lines before a message are ignored
            if (!parse_start_line(text)) return State::bad;
            stage_ = Stage::head;
          }
          buffer_.consume(remaining_);
        } else if (text.empty()) {
          buffer_.consume(remaining_);
          stage_ = Stage::framing;
        } else {
          if (!parse_field(text)) return State::bad;
          buffer_.consume(remaining_);
        }
        break;
      }
      case Stage::framing: {
        if (stops_at_head_ && !std::exchange(stopped_at_head_, true)) return State::head;
        if (!parse_framing()) return State::bad;
        break;
      }
      case Stage::length:
      case Stage::chunk: {
        const std::size_t now = std::min(remaining_, buffer_.size());
        body_bytes_ += now;
        // A body of known length ends at it; of a chunked one only the chunk's end is known.
        append_tightly(message_.body, buffer_.view().substr(0, now),
                       stage_ == Stage::length ? message_.body.size() + remaining_ : 0);
        buffer_.consume(now);
        remaining_ -= now;
        if (remaining_ > 0) return State::more;
        stage_ = stage_ == Stage::length ? Stage::done : Stage::chunk_end;
        break;
      }
      case Stage::chunk_size: {
        if (!peek_line(text))
          return buffer_.size() > kMaxChunkSizeLineBytes ? bad(400, "bad chunk size") : State::more;
        const std::size_t used = remaining_;
        if (!whole_number(trim(text.substr(0, text.find(';'))), remaining_, 16))
          return bad(400, "bad chunk size");
        if (remaining_ > max_body_ - body_bytes_) return bad(413, "body too large");
        buffer_.consume(used);
        stage_ = remaining_ == 0 ? Stage::trailer : Stage::chunk;
        break;
      }
      case Stage::chunk_end: {
        if (!peek_line(text)) return buffer_.size() > 2 ? bad(400, "bad chunk end") : State::more;
        if (!text.empty()) return bad(400, "bad chunk end");
        buffer_.consume(remaining_);
        stage_ = Stage::chunk_size;
        break;
      }
      case Stage::trailer: {
        if (!peek_line(text))
          return buffer_.size() > bounds_.head ? bad(431, "trailer too large") : State::more;
        head_bytes_ += remaining_;
        if (head_bytes_ > bounds_.head) return bad(431, "trailer too large");
        if (text.empty()) stage_ = Stage::done;
        buffer_.consume(remaining_);
        break;
      }
      case Stage::until_end: {
        append_tightly(message_.body, buffer_.view());
        buffer_.clear();
        return message_.body.size() > max_body_ ? bad(413, "body too large") : State::more;
      }
      case Stage::done:
        return State::done;
      case Stage::bad:
        return State::bad;
    }
  }
}

template <typename Message>
bool Parser<Message>::finish_at_eof() {
  if (stage_ != Stage::until_end) return false;
  stage_ = Stage::done;
  return true;
}

template <typename Message>
std::size_t Parser<Message>::held_bytes() const {
  const auto& fields = message_.headers.fields;
  std::size_t bytes = buffer_.held_bytes() + message_.body.capacity() + fields.capacity() * sizeof fields[0];
  for (const auto& [name, value] : fields) bytes += name.capacity() + value.capacity();
  return bytes;
}

template <typename Message>
void Parser<Message>::discard() {
  free_memory(buffer_);
  free_memory(message_);
  bad(503, "discarded");
}

template <typename Message>
Message Parser<Message>::take() {
  stage_ = Stage::start;
  remaining_ = head_bytes_ = body_bytes_ = 0;
  max_body_ = bounds_.body;
  stopped_at_head_ = false;
  return std::exchange(message_, {});
}

template class Parser<Request>;
template class Parser<Response>;

std::string_view reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 406:
      return "Not Acceptable";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Status";
  }
}

std::string write_head(const Response& response) {
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " ";
  out += reason(response.status);
  out += "\r\n";
  append_fields(out, response.headers);
  return out + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
}

std::string write(const Response& response) { return write_head(response) + response.body; }

std::string write_head(const Request& request) {
  std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
  append_fields(out, request.headers);
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
    out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  return out + "\r\n";
}

std::string write(const Request& request) { return write_head(request) + request.body; }

}  // namespace kelpdeal::http
