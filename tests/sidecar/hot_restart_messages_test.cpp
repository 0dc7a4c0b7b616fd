// Encoding of the messages between two processes of one sidecar during a hot restart.
#include <string>

#include "gtest/gtest.h"
#include "hot_restart/messages.h"

namespace mothrack::hot_restart {
namespace {

struct Row {
  Update update;
  std::string line;
};

TEST(HotRestartUpdate, IsWrittenAndReadAsOneLine) {
  const Row rows[] = {
      {{.ban = "u1"}, R"({"ban":"u1"})"},        {{.unban = "u1"}, R"({"unban":"u1"})"},
      {{.request_id = "r1"}, R"({"id":"r1"})"},  {{.quiesce = true}, R"({"rest":true})"},
      {{.quiesce = false}, R"({"rest":false})"}, {{.sockets = 32}, R"({"sockets":32})"},
  };
  for (const Row& row : rows) {
    EXPECT_EQ(ToJson(row.update).dump(), row.line);
    EXPECT_EQ(ToJson(ParseUpdate(nlohmann::json::parse(row.line))).dump(), row.line);
  }
}

TEST(HotRestartUpdate, IgnoresUnknownAndInvalidMembers) {
  for (const char* line :
       {"{}", R"({"ban":""})", R"({"ban":7})", R"({"rest":1})", R"({"sockets":-1})", R"({"later":true})"}) {
    EXPECT_EQ(ToJson(ParseUpdate(nlohmann::json::parse(line))).dump(), "{}") << line;
  }
}

}  // namespace
}  // namespace mothrack::hot_restart
