// Rendering a generation's files for an instance, and the errors if they can't be read or written.
#include "agent/rendered_files.h"

#include <filesystem>
#include <string>

#include "agent/posix_io.h"
#include "gtest/gtest.h"
#include "support/temporary_directory.h"

namespace mothrack::agent {
namespace {

namespace fs = std::filesystem;
using Cause = RenderError::Cause;

class RenderedFilesTest : public ::testing::Test {
 protected:
  void SetUp() override { fs::create_directory(from()); }

  std::string from() const { return directory_.File("g1"); }
  std::string to() const { return directory_.File("files/g1"); }

  const testing::TemporaryDirectory directory_{"rendered"};
};

TEST_F(RenderedFilesTest, PlaceholdersAreReplaced) {
  ASSERT_TRUE(WriteFileDurably(from() + "/mothrack.toml", "name = '{instance}' in {directory}, {other}"));
  ASSERT_TRUE(WriteFileDurably(from() + "/second", "as it is"));
  const auto error = RenderFiles("g1", from(), to(), {{"instance", "a"}, {"directory", "/var/a"}});
  EXPECT_FALSE(error);
  EXPECT_EQ(ReadFile(to() + "/mothrack.toml"), "name = 'a' in /var/a, {other}");
  EXPECT_EQ(ReadFile(to() + "/second"), "as it is");
}

TEST_F(RenderedFilesTest, ErrorNamesTheDirectoryThatIsMissing) {
  fs::remove_all(from());
  const auto error = RenderFiles("g1", from(), to(), {});
  ASSERT_TRUE(error);
  EXPECT_EQ(error->cause, Cause::kUnreadable);
  EXPECT_EQ(error->generation, "g1");
  EXPECT_EQ(error->path, from());
  EXPECT_EQ(error->error, std::errc::no_such_file_or_directory);
}

TEST_F(RenderedFilesTest, ErrorNamesTheFileThatCantBeWritten) {
  ASSERT_TRUE(WriteFileDurably(from() + "/mothrack.toml", "x"));
  fs::create_directories(to() + "/mothrack.toml");  // where the file should be
  const auto error = RenderFiles("g1", from(), to(), {});
  ASSERT_TRUE(error);
  EXPECT_EQ(error->cause, Cause::kWriteFailed);
  EXPECT_EQ(error->path, to() + "/mothrack.toml");
  EXPECT_EQ(error->error, std::errc::is_a_directory);
}

TEST(RenderError, EveryCauseHasItsText) {
  const struct {
    RenderError error;
    const char* text;
  } rows[] = {
      {{Cause::kUnreadable, "g1", "/var/generations/g1", {}}, "can't render the files of g1"},
      {{Cause::kWriteFailed, "g1", "/var/files/g1/mothrack.toml", {}}, "can't render the files of g1"},
  };
  for (const auto& row : rows) EXPECT_EQ(row.error.Message(), row.text);
}

}  // namespace
}  // namespace mothrack::agent
