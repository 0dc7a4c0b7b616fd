// Configuration generations on disk: stored completely or not at all, and the cause if they are not.
#include "agent/generation_store.h"

#include <cstdio>
#include <filesystem>
#include <optional>
#include <string>

#include "gtest/gtest.h"
#include "support/temporary_directory.h"

namespace mothrack::agent {
namespace {

namespace fs = std::filesystem;
using Cause = GenerationError::Cause;

// Returns nullopt if there is no error.
std::optional<Cause> CauseOf(const std::optional<GenerationError>& error) {
  return error ? std::optional(error->cause) : std::nullopt;
}

class GenerationStoreTest : public ::testing::Test {
 protected:
  void SetUp() override {
    store_.emplace(directory_.File("generations"),
                   [this](const std::string&, const std::string&) { return check_error_; });
  }

  const testing::TemporaryDirectory directory_{"generations"};
  std::optional<CheckError> check_error_;
  std::optional<GenerationStore> store_;
};

TEST_F(GenerationStoreTest, StoredGenerationIsImmutable) {
  const GenerationStore::Files files = {{"mothrack.toml", "one"}};
  EXPECT_EQ(CauseOf(store_->Add("g1", files)), std::nullopt);
  EXPECT_EQ(CauseOf(store_->Add("g1", files)), std::nullopt) << "the same files again";
  EXPECT_EQ(CauseOf(store_->Add("g1", {{"mothrack.toml", "two"}})), Cause::kOtherFiles);
  EXPECT_EQ(store_->FilesOf("g1"), files);
}

TEST_F(GenerationStoreTest, RejectionsNameTheirCauseAndStoreNothing) {
  const GenerationStore::Files files = {{"mothrack.toml", "one"}};
  EXPECT_EQ(CauseOf(store_->Add("../g1", files)), Cause::kInvalidName);
  EXPECT_EQ(CauseOf(store_->Add("g1", {})), Cause::kInvalidFiles);
  EXPECT_EQ(CauseOf(store_->Add("g1", {{"../escape", "x"}})), Cause::kInvalidFiles);
  const std::string too_long(GenerationStore::kMaxFileBytes + 1, 'x');
  EXPECT_EQ(CauseOf(store_->Add("g1", {{"mothrack.toml", too_long}})), Cause::kInvalidFiles);
  check_error_ = CheckError{CheckError::Cause::kRejected, "g1", "line 3"};
  const auto rejected = store_->Add("g1", files);
  EXPECT_EQ(CauseOf(rejected), Cause::kCheckFailed);
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->message, "g1: its check failed: line 3");
  EXPECT_TRUE(store_->Names().empty());
}

TEST_F(GenerationStoreTest, StoresNoMoreThanItsBound) {
  for (std::size_t i = 0; i < GenerationStore::kMaxGenerations; ++i) {
    ASSERT_EQ(CauseOf(store_->Add("g" + std::to_string(i), {{"f", "x"}})), std::nullopt) << i;
  }
  EXPECT_EQ(CauseOf(store_->Add("one-more", {{"f", "x"}})), Cause::kTooMany);
}

TEST_F(GenerationStoreTest, FailedWriteNamesThePath) {
  fs::remove_all(directory_.File("generations"));
  std::FILE* file = std::fopen(directory_.File("generations").c_str(), "w");  // where a directory should be
  ASSERT_NE(file, nullptr);
  std::fclose(file);
  const auto error = store_->Add("g1", {{"f", "x"}});
  EXPECT_EQ(CauseOf(error), Cause::kDiskWriteFailed);
  ASSERT_TRUE(error);
  EXPECT_NE(error->message.find(directory_.File("generations")), std::string::npos) << error->message;
  EXPECT_FALSE(store_->Has("g1"));
}

}  // namespace
}  // namespace mothrack::agent
