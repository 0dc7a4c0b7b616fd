// Plays the tables of docs/design/message_rules.md in memory: each form, split at every byte.
#include "http/message_rules.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <optional>
#include <string>

#include "http/message_forms.h"
#include "http/request_reader.h"
#include "http/response_reader.h"
#include "support/tables.h"

namespace mothrack::testing {
namespace {

constexpr const char* kPage = MOTHRACK_MESSAGE_RULES_PAGE;

// What a reader makes of a message.
struct Verdict {
  bool complete = false;
  std::string defect = "none";
};

// Feeds the reader until it is complete, blocked by a defect, or out of bytes.
Verdict ReadRequest(const std::string& text, std::size_t split) {
  http::RequestReader reader;
  reader.BeginNextRequest();
  for (const std::string& part : {text.substr(0, split), text.substr(split)}) {
    for (std::size_t at = 0; at < part.size();) {
      const std::size_t free = reader.buffer().max_size() - reader.buffer().size();
      const std::size_t size = std::min(free, part.size() - at);
      boost::asio::buffer_copy(reader.buffer().prepare(size), boost::asio::buffer(part.data() + at, size));
      reader.buffer().commit(size);
      at += size;
      if (reader.complete()) {
        if (reader.BytesBehindAreUnsound()) return {false, "bytes_behind"};
        continue;
      }
      http::RequestReader::Step step;
      do {
        step = reader.Advance();
        if (step.result == http::RequestReader::Step::Result::kInvalid) {
          return {false, std::string(http::LogNameOf(step.defect))};
        }
        reader.chunk().clear();
      } while (step.consumed > 0 && !reader.complete());
    }
  }
  return {reader.complete()};
}

TEST(MessageRules, RequestsSplitAtEveryByte) {
  for (const Row& row : TableOf(kPage, "Requests")) {
    const std::string text = RequestOfForm(row.at("form"), "r1");
    const bool sound = row.at("defect") == "none";
    for (std::size_t split = 0; split < std::min<std::size_t>(text.size(), 1000); ++split) {
      const Verdict verdict = ReadRequest(text, split);
      EXPECT_EQ(verdict.defect, row.at("defect")) << row.at("form") << " at " << split;
      EXPECT_EQ(verdict.complete, sound) << row.at("form") << " at " << split;
    }
  }
}

// The exchange decides by the status and the state of the connection; this plays what the reader decides.
Verdict ReadResponse(const AnswerForm& answer, std::size_t split) {
  http::ResponseReader reader;
  std::string unread;
  for (const std::string& part : {answer.bytes.substr(0, split), answer.bytes.substr(split)}) {
    if (reader.complete()) {
      unread += part;
      continue;
    }
    const auto storage = reader.Prepare(part.size());
    boost::asio::buffer_copy(storage, boost::asio::buffer(part));
    reader.Commit(std::min(storage.size(), part.size()));
    for (auto step = reader.Advance();; step = reader.Advance()) {
      if (step == http::ResponseReader::Step::kInvalid) {
        return {false, std::string(http::LogNameOf(reader.defect()))};
      }
      if (step == http::ResponseReader::Step::kNeedsBytes || step == http::ResponseReader::Step::kComplete)
        break;
      if (step == http::ResponseReader::Step::kHead && reader.head().result_int() == 101) {
        return {false, "unexpected_status"};
      }
      if (step != http::ResponseReader::Step::kHead) continue;
      if (reader.head().result_int() / 100 == 1) {
        reader.BeginNextResponse();
      } else if (!reader.has_defined_end()) {
        return {false, "undefined_end"};
      }
    }
  }
  if (!reader.complete() && answer.closes && reader.AdvanceAtEnd() == http::ResponseReader::Step::kInvalid) {
    return {false, std::string(http::LogNameOf(reader.defect()))};
  }
  if (reader.complete() && reader.BytesBehindAreUnsound(unread)) return {false, "bytes_behind"};
  return {reader.complete()};
}

TEST(MessageRules, AnswersSplitAtEveryByte) {
  const std::string body = "The body of an answer.";
  for (const Row& row : TableOf(kPage, "Answers")) {
    const AnswerForm answer = AnswerOfForm(row.at("form"), body);
    const bool sound = row.at("defect") == "none";
    for (std::size_t split = 0; split < std::min<std::size_t>(answer.bytes.size(), 1000); ++split) {
      const Verdict verdict = ReadResponse(answer, split);
      EXPECT_EQ(verdict.defect, row.at("defect")) << row.at("form") << " at " << split;
      EXPECT_EQ(verdict.complete, sound) << row.at("form") << " at " << split;
    }
  }
}

// The start of a second status line is no sign of a wrong length only if it is long enough to tell.
TEST(MessageRules, OnlyAStatusLineBehindAnAnswerLeavesItGood) {
  for (const char* bytes : {"", "HTTP/1.", "HTTP/1.1 200 OK\r\n", "HTTP/1.0 500"}) {
    EXPECT_FALSE(http::AreBytesBehindResponseUnsound(bytes)) << bytes;
  }
  for (const char* bytes : {"H", "HTTP/", "HTTP/2.0 200 OK\r\n", "http/1.1", "\r\nHTTP/1.1", "x", "\n"}) {
    EXPECT_TRUE(http::AreBytesBehindResponseUnsound(bytes)) << bytes;
  }
}

}  // namespace
}  // namespace mothrack::testing
