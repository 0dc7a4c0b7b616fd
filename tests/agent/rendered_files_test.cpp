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
  void SetUp() override { fs::create_directory(source_directory()); }

  std::string source_directory() const { return directory_.File("g1"); }
  std::string rendered_directory() const { return directory_.File("files/g1"); }

  const testing::TemporaryDirectory directory_{"rendered"};
};

TEST_F(RenderedFilesTest, PlaceholdersAreReplaced) {
  ASSERT_TRUE(
      WriteFileDurably(source_directory() + "/mothrack.toml", "name = '{instance}' in {directory}, {other}"));
  ASSERT_TRUE(WriteFileDurably(source_directory() + "/second", "as it is"));
  const auto error = RenderFiles("g1", source_directory(), rendered_directory(),
                                 {{"instance", "a"}, {"directory", "/var/a"}});
  EXPECT_FALSE(error);
  EXPECT_EQ(ReadFile(rendered_directory() + "/mothrack.toml"), "name = 'a' in /var/a, {other}");
  EXPECT_EQ(ReadFile(rendered_directory() + "/second"), "as it is");
}

TEST_F(RenderedFilesTest, ErrorNamesTheDirectoryThatIsMissing) {
  fs::remove_all(source_directory());
  const auto error = RenderFiles("g1", source_directory(), rendered_directory(), {});
  ASSERT_TRUE(error);
  EXPECT_EQ(error->cause, Cause::kUnreadable);
  EXPECT_EQ(error->generation, "g1");
  EXPECT_EQ(error->path, source_directory());
  EXPECT_EQ(error->error, std::errc::no_such_file_or_directory);
}

TEST_F(RenderedFilesTest, ErrorNamesTheFileThatCantBeWritten) {
  ASSERT_TRUE(WriteFileDurably(source_directory() + "/mothrack.toml", "x"));
  fs::create_directories(rendered_directory() + "/mothrack.toml");  // where the file should be
  const auto error = RenderFiles("g1", source_directory(), rendered_directory(), {});
  ASSERT_TRUE(error);
  EXPECT_EQ(error->cause, Cause::kWriteFailed);
  EXPECT_EQ(error->path, rendered_directory() + "/mothrack.toml");
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
