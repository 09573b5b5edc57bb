// SPDX-License-Identifier: MIT
#include "kelpdeal/frames.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace kelpdeal::frames {
namespace {

constexpr std::string_view kFrameTypes = "12345X";
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaxAnswerLineBytes = 1024;  // id, outcome, score and load report

// Splits a line into exactly N words separated by single spaces.
template <std::size_t N>
std::optional<std::array<std::string_view, N>> split_words(std::string_view line) {
  std::array<std::string_view, N> found;
  for (std::size_t i = 0; i < N; ++i) {
    const std::size_t space = line.find(' ');
    if ((space == std::string_view::npos) != (i + 1 == N)) return std::nullopt;
    found[i] = line.substr(0, space);
    if (found[i].empty()) return std::nullopt;
    if (i + 1 < N) line.remove_prefix(space + 1);
  }
  return found;
}

template <typename Number>
bool parse_number(std::string_view text, Number& value) {
  const auto got = std::from_chars(text.data(), text.data() + text.size(), value);
  return got.ec == std::errc() && got.ptr == text.data() + text.size();
}

// The length at the beginning of a frame.
std::size_t read_length(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i)
    length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  return length;
}

// The length and the type of a frame.
std::string frame_header(char type, std::size_t payload_bytes) {
  const std::uint32_t length = static_cast<std::uint32_t>(payload_bytes + 1);
  std::string out;
  for (int i = 0; i < 4; ++i) out += static_cast<char>(length >> (8 * i) & 255);
  return out + type;
}

}  // namespace

std::string encode(char type, std::string_view payload) {
  std::string out = frame_header(type, payload.size());
  out += payload;
  return out;
}

std::vector<std::string> encode_call_headers(const std::vector<CallPartHeader>& parts) {
  std::vector<std::string> headers;
  std::size_t payload_bytes = 0;
  for (const CallPartHeader& part : parts) {
    headers.push_back(part.id + ' ' + std::to_string(part.shard) + ' ' +
                      (part.options.empty() ? "-" : part.options) + ' ' + std::to_string(part.text_bytes) +
                      '\n');
    payload_bytes += headers.back().size() + part.text_bytes;
  }
  if (!headers.empty()) headers.front().insert(0, frame_header(kCall, payload_bytes));
  return headers;
}

std::string encode_call(const std::vector<CallPart>& parts) {
  std::vector<CallPartHeader> part_headers;
  for (const CallPart& part : parts)
    part_headers.push_back({part.id, part.shard, part.options, part.text.size()});
  const std::vector<std::string> headers = encode_call_headers(part_headers);
  std::string out;
  for (std::size_t i = 0; i < parts.size(); ++i) out += headers[i] + parts[i].text;
  return out;
}

std::optional<std::vector<CallPart>> decode_call(std::string_view payload) {
  std::vector<CallPart> parts;
  while (!payload.empty()) {
    const std::size_t end = payload.find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    const auto found = split_words<4>(payload.substr(0, end));
    payload.remove_prefix(end + 1);
    CallPart part;
    std::size_t length = 0;
    if (!found || !parse_number((*found)[1], part.shard) || !parse_number((*found)[3], length) ||
        length > payload.size())
      return std::nullopt;
    part.id = (*found)[0];
    part.options = (*found)[2];
    part.text = payload.substr(0, length);
    payload.remove_prefix(length);
    parts.push_back(std::move(part));
  }
  if (parts.empty()) return std::nullopt;
  return parts;
}

std::string encode_answer(const AnswerPart& answer) {
  return encode(kAnswer, answer.id + ' ' + answer.outcome + ' ' + std::to_string(answer.score) + ' ' +
                             (answer.report.empty() ? "-" : answer.report) + '\n' + answer.value);
}

std::optional<AnswerPart> decode_answer(std::string_view payload) {
  const std::size_t end = payload.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  // Everything after the score is the load report, in any format: a malformed report does not invalidate the
  // answer.
  std::string_view line = payload.substr(0, end);
  std::size_t report = 0;
  for (int i = 0; i < 3 && report != std::string_view::npos; ++i)
    report = line.find(' ', report ? report + 1 : 0);
  if (report == std::string_view::npos) return std::nullopt;
  const auto found = split_words<3>(line.substr(0, report));
  if (!found || (*found)[1].size() != 1) return std::nullopt;
  AnswerPart answer;
  answer.id = (*found)[0];
  answer.outcome = (*found)[1][0];
  answer.report = line.substr(report + 1);
  answer.value = payload.substr(end + 1);
  if (answer.outcome != 'S' && answer.outcome != 'E' && answer.outcome != 'B') return std::nullopt;
  // A score is required only if the part was served; otherwise it may be "-".
  if (!parse_number((*found)[2], answer.score) && (answer.outcome == 'S' || (*found)[2] != "-"))
    return std::nullopt;
  return answer;
}

void Reader::feed(std::string_view bytes) {
  const std::size_t dropped = std::min(dropping_bytes_, bytes.size());
  dropping_bytes_ -= dropped;
  buffer_.append(bytes.substr(dropped));
}

bool Reader::drop_value() {
  if (bad_ || buffer_.size() <= kLengthBytes) return false;
  const std::string_view received = buffer_.view();
  const std::string_view payload = received.substr(kLengthBytes, read_length(received));
  const std::size_t line_end = payload.substr(0, kMaxAnswerLineBytes).find('\n');
  if (!payload.starts_with(kAnswer) || line_end == std::string_view::npos) return false;
  frame_without_value_ = Frame{kAnswer, std::string(payload.substr(1, line_end)), true};
  dropping_bytes_ = read_length(received) - payload.size();
  buffer_.consume(kLengthBytes + payload.size());
  return true;
}

std::optional<Frame> Reader::next() {
  if (frame_without_value_) return std::exchange(frame_without_value_, std::nullopt);
  if (bad_ || buffer_.size() < kLengthBytes) return std::nullopt;
  const std::string_view received = buffer_.view();
  const std::size_t length = read_length(received);
  const std::string_view available = received.substr(kLengthBytes, length);
  // Rejects an invalid frame at once instead of waiting for the rest of its announced length.
  if (length == 0 || length > max_frame_bytes_ ||
      (!available.empty() && kFrameTypes.find(available[0]) == std::string_view::npos) ||
      (available.starts_with(kAnswer) &&
       available.substr(0, kMaxAnswerLineBytes).find('\n') == std::string_view::npos &&
       available.size() >= std::min(length, kMaxAnswerLineBytes))) {
    bad_ = true;
    return std::nullopt;
  }
  if (available.size() < length) return std::nullopt;
  Frame frame{available[0], std::string(available.substr(1))};
  buffer_.consume(kLengthBytes + length);
  return frame;
}

}  // namespace kelpdeal::frames
