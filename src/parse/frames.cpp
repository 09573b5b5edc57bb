// SPDX-License-Identifier: MIT
#include "kelpdeal/frames.h"

#include <array>
#include <charconv>

namespace kelpdeal::frames {
namespace {

constexpr std::string_view kFrameTypes = "12345X";
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

}  // namespace

std::string encode(char type, std::string_view payload) {
  const std::uint32_t length = static_cast<std::uint32_t>(payload.size() + 1);
  std::string out;
  out.reserve(length + 4);
  for (int i = 0; i < 4; ++i) out += static_cast<char>(length >> (8 * i) & 255);
  out += type;
  out += payload;
  return out;
}

std::string encode_call(const std::vector<CallPart>& parts) {
  std::string payload;
  for (const CallPart& part : parts) {
    payload += part.id + ' ' + std::to_string(part.shard) + ' ' +
               (part.options.empty() ? "-" : part.options) + ' ' + std::to_string(part.text.size()) + '\n';
    payload += part.text;
  }
  return encode(kCall, payload);
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

std::optional<Frame> Reader::next() {
  if (bad_ || buffer_.size() < 4) return std::nullopt;
  const std::string_view received = buffer_.view();
  std::size_t length = 0;
  for (std::size_t i = 0; i < 4; ++i)
    length |= static_cast<std::size_t>(static_cast<unsigned char>(received[i])) << (8 * i);
  const std::string_view available = received.substr(4, length);
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
  buffer_.consume(4 + length);
  return frame;
}

}  // namespace kelpdeal::frames
