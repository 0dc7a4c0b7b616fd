// Reading a directory's files: which entries count as files, and the error if the directory can't be read.
#include "agent/directory_files.h"

#include <filesystem>
#include <map>
#include <string>

#include "agent/posix_io.h"
#include "gtest/gtest.h"
#include "support/temporary_directory.h"

namespace mothrack::agent {
namespace {

namespace fs = std::filesystem;
using Files = std::map<std::string, std::string>;

class DirectoryFilesTest : public ::testing::Test {
 protected:
  const testing::TemporaryDirectory directory_{"directory"};
};

TEST_F(DirectoryFilesTest, FilesHaveTheirBytes) {
  const std::string binary("\0\r\n\xff", 4);
  ASSERT_TRUE(WriteFileDurably(directory_.File("b"), binary));
  ASSERT_TRUE(WriteFileDurably(directory_.File("a"), "text\n"));
  ASSERT_TRUE(WriteFileDurably(directory_.File(".hidden"), ""));
  for (const auto entries : {DirectoryEntries::kAll, DirectoryEntries::kRegularFiles}) {
    const DirectoryFiles read = ReadDirectory(directory_.path(), entries);
    EXPECT_FALSE(read.error);
    EXPECT_EQ(read.files, (Files{{".hidden", ""}, {"a", "text\n"}, {"b", binary}}));
  }
}

TEST_F(DirectoryFilesTest, OtherEntriesAreEmptyOrSkipped) {
  ASSERT_TRUE(WriteFileDurably(directory_.File("file"), "text"));
  fs::create_directory(directory_.File("subdirectory"));
  ASSERT_TRUE(WriteFileDurably(directory_.File("subdirectory/inner"), "not read"));
  fs::create_symlink("file", directory_.File("link"));
  fs::create_symlink("absent", directory_.File("dangling"));
  const DirectoryFiles all = ReadDirectory(directory_.path(), DirectoryEntries::kAll);
  EXPECT_FALSE(all.error);
  EXPECT_EQ(all.files, (Files{{"dangling", ""}, {"file", "text"}, {"link", "text"}, {"subdirectory", ""}}));
  const DirectoryFiles regular = ReadDirectory(directory_.path(), DirectoryEntries::kRegularFiles);
  EXPECT_FALSE(regular.error);
  EXPECT_EQ(regular.files, (Files{{"file", "text"}, {"link", "text"}}));
}

TEST_F(DirectoryFilesTest, EntryOfUnknownTypeThrows) {
  fs::create_symlink("loop", directory_.File("loop"));
  EXPECT_EQ(ReadDirectory(directory_.path(), DirectoryEntries::kAll).files, (Files{{"loop", ""}}));
  EXPECT_THROW(ReadDirectory(directory_.path(), DirectoryEntries::kRegularFiles), fs::filesystem_error);
}

TEST_F(DirectoryFilesTest, ReportsTheSystemError) {
  const DirectoryFiles missing = ReadDirectory(directory_.File("missing"), DirectoryEntries::kAll);
  EXPECT_EQ(missing.error, std::errc::no_such_file_or_directory);
  EXPECT_TRUE(missing.files.empty());
  ASSERT_TRUE(WriteFileDurably(directory_.File("file"), "text"));
  const DirectoryFiles file = ReadDirectory(directory_.File("file"), DirectoryEntries::kRegularFiles);
  EXPECT_EQ(file.error, std::errc::not_a_directory);
  EXPECT_TRUE(file.files.empty());
}

}  // namespace
}  // namespace mothrack::agent
