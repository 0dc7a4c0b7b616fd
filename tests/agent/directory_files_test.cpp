// The files of a directory: which entries count, and the error where it can't be read.
#include "agent/directory_files.h"

#include <unistd.h>

#include <filesystem>
#include <map>
#include <string>

#include "agent/posix_io.h"
#include "gtest/gtest.h"

namespace mothrack::agent {
namespace {

namespace fs = std::filesystem;
using Files = std::map<std::string, std::string>;

class DirectoryFilesTest : public ::testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = (fs::temp_directory_path() / "directory.XXXXXX").string();
    ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
    directory_ = pattern;
  }
  void TearDown() override { fs::remove_all(directory_); }

  std::string directory_;
};

TEST_F(DirectoryFilesTest, FilesHaveTheirBytes) {
  const std::string binary("\0\r\n\xff", 4);
  ASSERT_TRUE(WriteFileDurably(directory_ + "/b", binary));
  ASSERT_TRUE(WriteFileDurably(directory_ + "/a", "text\n"));
  ASSERT_TRUE(WriteFileDurably(directory_ + "/.hidden", ""));
  for (const auto entries : {DirectoryEntries::kAll, DirectoryEntries::kRegularFiles}) {
    const DirectoryFiles read = ReadDirectory(directory_, entries);
    EXPECT_FALSE(read.error);
    EXPECT_EQ(read.files, (Files{{".hidden", ""}, {"a", "text\n"}, {"b", binary}}));
  }
}

TEST_F(DirectoryFilesTest, OtherEntriesAreEmptyOrSkipped) {
  ASSERT_TRUE(WriteFileDurably(directory_ + "/file", "text"));
  fs::create_directory(directory_ + "/subdirectory");
  ASSERT_TRUE(WriteFileDurably(directory_ + "/subdirectory/inner", "not read"));
  fs::create_symlink("file", directory_ + "/link");
  fs::create_symlink("absent", directory_ + "/dangling");
  const DirectoryFiles all = ReadDirectory(directory_, DirectoryEntries::kAll);
  EXPECT_FALSE(all.error);
  EXPECT_EQ(all.files, (Files{{"dangling", ""}, {"file", "text"}, {"link", "text"}, {"subdirectory", ""}}));
  const DirectoryFiles regular = ReadDirectory(directory_, DirectoryEntries::kRegularFiles);
  EXPECT_FALSE(regular.error);
  EXPECT_EQ(regular.files, (Files{{"file", "text"}, {"link", "text"}}));
}

TEST_F(DirectoryFilesTest, EntryOfUnknownTypeThrows) {
  fs::create_symlink("loop", directory_ + "/loop");
  EXPECT_EQ(ReadDirectory(directory_, DirectoryEntries::kAll).files, (Files{{"loop", ""}}));
  EXPECT_THROW(ReadDirectory(directory_, DirectoryEntries::kRegularFiles), fs::filesystem_error);
}

TEST_F(DirectoryFilesTest, ErrorIsOfTheSystem) {
  const DirectoryFiles missing = ReadDirectory(directory_ + "/missing", DirectoryEntries::kAll);
  EXPECT_EQ(missing.error, std::errc::no_such_file_or_directory);
  EXPECT_TRUE(missing.files.empty());
  ASSERT_TRUE(WriteFileDurably(directory_ + "/file", "text"));
  const DirectoryFiles file = ReadDirectory(directory_ + "/file", DirectoryEntries::kRegularFiles);
  EXPECT_EQ(file.error, std::errc::not_a_directory);
  EXPECT_TRUE(file.files.empty());
}

}  // namespace
}  // namespace mothrack::agent
