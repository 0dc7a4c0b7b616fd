// The directory for the files of a test: only its user may access it, it is removed with its object, and the
// constructor throws if it can't be created.
#include "support/temporary_directory.h"

#include <sys/stat.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

#include "gtest/gtest.h"

namespace mothrack::testing {
namespace {

namespace fs = std::filesystem;

TEST(TemporaryDirectory, IsPrivateAndUnique) {
  const TemporaryDirectory first("same");
  const TemporaryDirectory second("same");
  EXPECT_NE(first.path(), second.path());
  EXPECT_EQ(fs::path(first.path()).parent_path(), fs::temp_directory_path());
  EXPECT_TRUE(fs::path(first.path()).filename().string().starts_with("same."));
  struct stat info {};
  ASSERT_EQ(::stat(first.path().c_str(), &info), 0);
  EXPECT_EQ(info.st_mode & 0777U, 0700U);
}

TEST(TemporaryDirectory, IsRemovedWithItsObjectAndContents) {
  std::string path;
  {
    const TemporaryDirectory directory;
    path = directory.path();
    EXPECT_EQ(directory.File("name"), path + "/name");
    fs::create_directory(directory.File("below"));
    std::ofstream(directory.File("below/file")) << "text";
    ASSERT_TRUE(fs::exists(path + "/below/file"));
  }
  EXPECT_FALSE(fs::exists(path));
}

TEST(TemporaryDirectory, ThrowsIfItCannotBeCreated) {
  try {
    const TemporaryDirectory directory("no-such-directory/below");
    FAIL() << directory.path();
  } catch (const std::system_error& error) {
    EXPECT_EQ(error.code().value(), ENOENT);
    EXPECT_NE(std::string(error.what()).find("no-such-directory/below."), std::string::npos) << error.what();
  }
}

}  // namespace
}  // namespace mothrack::testing
