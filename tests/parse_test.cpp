// SPDX-License-Identifier: MIT
// Tables of cases for the parsers. The incremental parsers also get each text byte by byte, with the same
// result.
#include <gtest/gtest.h>

#include "kelpdeal/frames.h"
#include "kelpdeal/http.h"
#include "kelpdeal/json.h"

namespace kelpdeal {
namespace {

TEST(Json, ParsedValueIsWrittenInCanonicalForm) {
  const std::pair<const char*, const char*> cases[] = {
      {"null", "null"},
      {" true ", "true"},
      {"-0.5e1", "-5"},
      {"1e300", "1e+300"},
      {"\"a\\u00e9\\n\\/\"", "\"a\xc3\xa9\\u000a/\""},
      {"\"\\ud83d\\ude00\"", "\"\xf0\x9f\x98\x80\""},
      {"[]", "[]"},
      {"[1, [2], {}]", "[1,[2],{}]"},
      {"{\"a\":1,\"b\":{\"c\":\"d\"}}", "{\"a\":1,\"b\":{\"c\":\"d\"}}"},
  };
  for (const auto& [text, written] : cases) {
    std::string error;
    const auto value = json::parse(text, error);
    ASSERT_TRUE(value) << text << ": " << error;
    EXPECT_EQ(json::write(*value), written);
  }
}

// Guards against a large number with a fraction that is written as another integer (found by fuzz_json).
TEST(Json, LargeNumbersParseBackToTheSameValue) {
  for (const char* text :
       {"99999999990071992.47", "9007199254740993.5", "-99999999990071992.47", "1e17", "1e300",
        "99999999990071992", "9223372036854775807", "18446744073709551615", "9007199254740992.0"}) {
    std::string error;
    const auto value = json::parse(text, error);
    ASSERT_TRUE(value) << text;
    const std::string written = json::write(*value);
    const auto again = json::parse(written, error);
    EXPECT_TRUE(again && *again == *value) << text << " was written as " << written;
  }
}

TEST(Json, InvalidTextIsRejectedWithReason) {
  const std::pair<std::string, const char*> cases[] = {
      {"", "ends too soon"},
      {"{", "expected a name"},
      {"{\"a\" 1}", "expected a colon"},
      {"[1 2]", "expected , or ]"},
      {"{\"a\":1,}", "expected a name"},
      {"tru", "unknown word"},
      {"01", "unknown value"},
      {"1.", "bad number"},
      {"1e", "bad number"},
      {"1e999", "number out of range"},
      {"\"a", "string without an end"},
      {"\"\\x\"", "bad escape"},
      {"\"\\ud800\"", "half a surrogate pair"},
      {"\"\x01\"", "control character"},
      {"1 1", "more after the value"},
      {std::string(40, '['), "nested too deep"},
      {"[1,2,3,4,5,6,7,8,9]", "too many values"},
  };
  for (const auto& [text, reason] : cases) {
    std::string error;
    EXPECT_FALSE(json::parse(text, error, {4, 8})) << text;
    EXPECT_NE(error.find(reason), std::string::npos) << text << ": " << error;
  }
}

TEST(Json, PathLookupReturnsValueOrFallback) {
  std::string error;
  const auto value = json::parse(R"({"a":{"b":3,"t":"x","f":true},"a2":1})", error);
  ASSERT_TRUE(value);
  EXPECT_EQ(value->number_or("a.b", 0), 3);
  EXPECT_EQ(value->text_or("a.t", ""), "x");
  EXPECT_TRUE(value->flag_or("a.f", false));
  EXPECT_EQ(value->number_or("a.b.c", 7), 7);
  EXPECT_EQ(value->find("none"), nullptr);
}

struct HttpCase {
  const char* text;
  http::State state;
  int status;        // if bad
  const char* body;  // if done
};

template <typename Message>
http::State feed(http::Parser<Message>& parser, std::string_view text, bool by_bytes) {
  http::State state = http::State::more;
  const std::size_t step = by_bytes ? 1 : text.size();
  for (std::size_t at = 0; at < text.size() && state == http::State::more; at += step) {
    parser.feed(text.substr(at, step));
    state = parser.advance();
  }
  return state;
}

TEST(Http, RequestsAreParsedOrRejectedWithStatus) {
  using enum http::State;
  const HttpCase cases[] = {
      {"GET / HTTP/1.1\r\n\r\n", done, 0, ""},
      {"\r\nGET / HTTP/1.0\nA: b\n\n", done, 0, ""},
      {"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", done, 0, "abc"},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: t\r\n\r\n",
       done, 0, "abcde"},
      {"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", more, 0, ""},
      {"GET /\r\n\r\n", bad, 400, ""},
      {"GET / HTTP/2.0\r\n\r\n", bad, 505, ""},
      {"G@T / HTTP/1.1\r\n\r\n", bad, 400, ""},
      {"GET / HTTP/1.1\r\nbad field\r\n\r\n", bad, 400, ""},
      {"GET / HTTP/1.1\r\nA : b\r\n\r\n", bad, 400, ""},
      {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", bad, 400, ""},
      {"POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n", bad, 400, ""},
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", bad, 400, ""},
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", bad, 400, ""},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", bad, 501, ""},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", bad, 400, ""},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", bad, 400, ""},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", bad, 413, ""},
      {"POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n", bad, 413, ""},
      {"GET / HTTP/1.1\r\nA: 1\r\nB: 2\r\nC: 3\r\nD: 4\r\nE: 5\r\n\r\n", bad, 431, ""},
      {"GET "
       "/aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
       "aaa"
       "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa HTTP/1.1\r\n",
       bad, 431, ""},
  };
  for (const HttpCase& c : cases)
    for (const bool by_bytes : {false, true}) {
      http::Parser<http::Request> parser({128, 4, 50});
      ASSERT_EQ(feed(parser, c.text, by_bytes), c.state) << c.text << parser.problem();
      if (c.state == bad) {
        EXPECT_EQ(parser.status(), c.status) << c.text;
      }
      if (c.state == done) {
        EXPECT_EQ(parser.take().body, c.body);
      }
    }
}

TEST(Http, InputAfterMessageIsKeptForTheNext) {
  http::Parser<http::Request> parser({});
  parser.feed("GET /a?x=1&y=%20z HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: x, Close\r\n\r\n");
  ASSERT_EQ(parser.advance(), http::State::done);
  const http::Request first = parser.take();
  EXPECT_EQ(first.path(), "/a");
  EXPECT_EQ(first.parameter("y"), " z");
  EXPECT_FALSE(first.parameter("z"));
  EXPECT_TRUE(first.keeps_alive());
  ASSERT_EQ(parser.advance(), http::State::done);
  EXPECT_FALSE(parser.take().keeps_alive());
  EXPECT_TRUE(parser.idle());
}

TEST(Http, ResponsesAreParsedOrRejected) {
  using enum http::State;
  const HttpCase cases[] = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", done, 0, "hi"},
      {"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", done, 0, "hi"},
      {"HTTP/1.1 204 No\r\n\r\n", done, 0, ""},
      {"HTTP/1.1 200 OK\r\n\r\nhi", more, 0, ""},  // ends with the connection
      {"HTTP/1.1 2x0 OK\r\n\r\n", bad, 400, ""},
      {"HTTP 200 OK\r\n\r\n", bad, 400, ""},
  };
  for (const HttpCase& c : cases)
    for (const bool by_bytes : {false, true}) {
      http::Parser<http::Response> parser({});
      ASSERT_EQ(feed(parser, c.text, by_bytes), c.state) << c.text;
      if (c.state == done) {
        EXPECT_EQ(parser.take().body, c.body);
      }
      if (c.state == more) {
        EXPECT_TRUE(parser.finish_at_eof());
      }
    }
}

TEST(Frames, ReaderSplitsStreamFedByteByByte) {
  const std::string bytes = frames::encode('3', "") + frames::encode('2', "q.1");
  EXPECT_EQ(bytes.substr(0, 5), std::string("\x01\0\0\0003", 5));
  frames::Reader reader(16);
  std::string seen;
  for (const char byte : bytes) {
    reader.feed({&byte, 1});
    while (const auto frame = reader.next()) seen += frame->type + frame->payload + ";";
  }
  EXPECT_EQ(seen, "3;2q.1;");
  EXPECT_FALSE(reader.bad());
}

TEST(Frames, ReaderRejectsLengthsOutOfBounds) {
  for (const std::string& bytes :
       {std::string("\0\0\0\0", 4), std::string("\x11\0\0\0", 4), std::string("\xff\xff\xff\xff")}) {
    frames::Reader reader(16);
    reader.feed(bytes);
    EXPECT_FALSE(reader.next());
    EXPECT_TRUE(reader.bad());
  }
}

TEST(Frames, AnswersAreDecodedOrRejected) {
  const struct {
    const char* rest;
    bool valid;
    char end;
    const char* value;
  } cases[] = {
      {"q.3 S 1840277719 -\nabc", true, 'S', "abc"},
      {"q.3 S -4 x\n", true, 'S', ""},
      {"q.3 B - -\n", true, 'B', ""},
      {"q.3 E 0 -\n", true, 'E', ""},
      {"q.3 S 1 a report of\tits own\nabc", true, 'S', "abc"},
      {"q.3 S 1 \nabc", true, 'S', "abc"},
      {"q.3 S x -\nabc", false, 0, ""},
      {"q.3 Z 1 -\nabc", false, 0, ""},
      {"q.3 S 1 -", false, 0, ""},
      {"q.3 S 1\nabc", false, 0, ""},
      {"q.3  S 1 -\nabc", false, 0, ""},
      {"", false, 0, ""},
  };
  for (const auto& c : cases) {
    const auto answer = frames::decode_answer(c.rest);
    ASSERT_EQ(answer.has_value(), c.valid) << c.rest;
    if (!answer) continue;
    EXPECT_EQ(answer->id, "q.3");
    EXPECT_EQ(answer->outcome, c.end);
    EXPECT_EQ(answer->value, c.value);
  }
}

// Feeds randomly mutated valid texts, from a fixed seed, to every parser: none may crash or misbehave.
TEST(Parsers, MutatedInputIsHandledSafely) {
  const std::string seeds[] = {
      R"({"slices":[{"slice":3,"mass":0.5,"micros":9e3},{"slice":9}],"filter":"\u00e9\ud83d\ude00"})",
      "POST /a?b=%20 HTTP/1.1\r\nContent-Length: 5\r\nA: b\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
      frames::encode_call({{"q.1", 1, "d=5,k=z", "text"}}),
      frames::encode_answer({"q.1", 'S', 7, "-", "value"}),
  };
  std::uint32_t random_state = 1;
  const auto next = [&random_state](std::size_t below) {
    random_state = random_state * 1664525u + 1013904223u;
    return (random_state >> 8) % below;
  };
  int accepted_count = 0;
  for (const std::string& seed : seeds)
    for (int round = 0; round < 2000; ++round) {
      std::string text = seed;
      for (std::size_t edits = next(4); edits > 0; --edits) {
        const std::size_t at = next(text.size());
        if (next(3) == 0)
          text.erase(at, 1 + next(4));
        else
          text[at] = static_cast<char>(next(256));
        if (text.empty()) text = "x";
      }
      std::string error;
      const auto value = json::parse(text, error);
      EXPECT_EQ(value.has_value(), error.empty());
      if (value) {
        EXPECT_EQ(json::parse(json::write(*value), error), value);
      }
      http::Parser<http::Request> request({64, 4, 64});
      http::Parser<http::Response> response({64, 4, 64});
      frames::Reader reader(64);
      accepted_count += feed(request, text, round % 2) == http::State::done;
      accepted_count += feed(response, text, round % 2) == http::State::done;
      reader.feed(text);
      while (const auto frame = reader.next()) {
        const auto call = frames::decode_call(frame->payload);
        accepted_count += call || frames::decode_answer(frame->payload);
      }
    }
  // At least the unmodified texts are accepted, so the mutations get past the first checks.
  EXPECT_GT(accepted_count, 1000);
}

TEST(Frames, CallsSurviveEncodeAndDecode) {
  const std::string bytes = frames::encode_call({{"q.1", 1, "d=5", "ab\ncd"}, {"q.2", 2, "d=6,k=z", ""}});
  const auto parts = frames::decode_call(std::string_view(bytes).substr(5));
  ASSERT_TRUE(parts);
  ASSERT_EQ(parts->size(), 2u);
  EXPECT_EQ((*parts)[0].text, "ab\ncd");
  EXPECT_EQ((*parts)[1].options, "d=6,k=z");
  for (const char* invalid : {"", "q 1 d=5", "q 1 d=5 9\nab", "q x d=5 2\nab", "q 1 d=5 -2\nab"})
    EXPECT_FALSE(frames::decode_call(invalid)) << invalid;
}

}  // namespace
}  // namespace kelpdeal
