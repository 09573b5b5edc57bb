// SPDX-License-Identifier: MIT
#include "kelpdeal/frames.h"

#include <array>
#include <charconv>

namespace kelpdeal::frames {
namespace {

constexpr std::string_view kLetters = "12345X";
constexpr std::size_t kLongestLine = 1024;  // of an answer: two numbers, an id and a load report

// Splits a line into exactly N words parted by single spaces.
template <std::size_t N>
std::optional<std::array<std::string_view, N>> words(std::string_view line) {
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
bool number(std::string_view text, Number& value) {
  const auto got = std::from_chars(text.data(), text.data() + text.size(), value);
  return got.ec == std::errc() && got.ptr == text.data() + text.size();
}

}  // namespace

std::string encode(char letter, std::string_view rest) {
  const std::uint32_t length = static_cast<std::uint32_t>(rest.size() + 1);
  std::string out;
  out.reserve(length + 4);
  for (int i = 0; i < 4; ++i) out += static_cast<char>(length >> (8 * i) & 255);
  out += letter;
  out += rest;
  return out;
}

std::string encode_call(const std::vector<CallPart>& parts) {
  std::string rest;
  for (const CallPart& part : parts) {
    rest += part.id + ' ' + std::to_string(part.shard) + ' ' + (part.list.empty() ? "-" : part.list) + ' ' +
            std::to_string(part.text.size()) + '\n';
    rest += part.text;
  }
  return encode(kCall, rest);
}

std::optional<std::vector<CallPart>> decode_call(std::string_view rest) {
  std::vector<CallPart> parts;
  while (!rest.empty()) {
    const std::size_t end = rest.find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    const auto found = words<4>(rest.substr(0, end));
    rest.remove_prefix(end + 1);
    CallPart part;
    std::size_t length = 0;
    if (!found || !number((*found)[1], part.shard) || !number((*found)[3], length) || length > rest.size())
      return std::nullopt;
    part.id = (*found)[0];
    part.list = (*found)[2];
    part.text = rest.substr(0, length);
    rest.remove_prefix(length);
    parts.push_back(std::move(part));
  }
  if (parts.empty()) return std::nullopt;
  return parts;
}

std::string encode_answer(const AnswerPart& answer) {
  return encode(kAnswer, answer.id + ' ' + answer.end + ' ' + std::to_string(answer.score) + ' ' +
                             (answer.report.empty() ? "-" : answer.report) + '\n' + answer.value);
}

std::optional<AnswerPart> decode_answer(std::string_view rest) {
  const std::size_t end = rest.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  // Whatever follows the score is the report. One that cannot be read takes nothing from its answer.
  std::string_view line = rest.substr(0, end);
  std::size_t report = 0;
  for (int i = 0; i < 3 && report != std::string_view::npos; ++i)
    report = line.find(' ', report ? report + 1 : 0);
  if (report == std::string_view::npos) return std::nullopt;
  const auto found = words<3>(line.substr(0, report));
  if (!found || (*found)[1].size() != 1) return std::nullopt;
  AnswerPart answer;
  answer.id = (*found)[0];
  answer.end = (*found)[1][0];
  answer.report = line.substr(report + 1);
  answer.value = rest.substr(end + 1);
  if (answer.end != 'S' && answer.end != 'E' && answer.end != 'B') return std::nullopt;
  // Only an answer that is served needs its score; others may leave it out by "-".
  if (!number((*found)[2], answer.score) && (answer.end == 'S' || (*found)[2] != "-")) return std::nullopt;
  return answer;
}

std::optional<Frame> Reader::next() {
  if (bad_ || buffer_.size() < 4) return std::nullopt;
  std::size_t length = 0;
  for (int i = 0; i < 4; ++i)
    length |= static_cast<std::size_t>(static_cast<unsigned char>(buffer_[i])) << (8 * i);
  const std::string_view begun = std::string_view(buffer_).substr(4, length);
  // Guards against waiting for the rest of what is no frame.
  if (length == 0 || length > most_ ||
      (!begun.empty() && kLetters.find(begun[0]) == std::string_view::npos) ||
      (begun.starts_with(kAnswer) && begun.substr(0, kLongestLine).find('\n') == std::string_view::npos &&
       begun.size() >= std::min(length, kLongestLine))) {
    bad_ = true;
    return std::nullopt;
  }
  if (begun.size() < length) return std::nullopt;
  Frame frame{buffer_[4], buffer_.substr(5, length - 1)};
  buffer_.erase(0, 4 + length);
  return frame;
}

}  // namespace kelpdeal::frames
