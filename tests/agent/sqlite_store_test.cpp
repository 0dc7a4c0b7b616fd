// The agent's store on disk: restoring its content, and its errors if the disk is full or the file is
// truncated, damaged, of a later version or locked.
#include "agent/sqlite_store.h"

#include <signal.h>
#include <sqlite3.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

#include "gtest/gtest.h"
#include "support/temporary_directory.h"

namespace mothrack::agent {
namespace {

using rollout::Epoch;
using rollout::Holder;
using rollout::InstanceRecord;
using rollout::LeaseState;
using rollout::Phase;
using rollout::Plan;
using rollout::Policy;
using rollout::StepKind;
using Cause = StoreError::Cause;

// Returns nullopt if there is no error.
std::optional<Cause> CauseOf(const std::optional<StoreError>& error) {
  return error ? std::optional(error->cause) : std::nullopt;
}

class StoreTest : public ::testing::Test {
 protected:
  std::string path() const { return directory_.File("state.sqlite"); }
  void ExecuteSql(const std::string& sql) const {
    sqlite3* database = nullptr;
    ASSERT_EQ(sqlite3_open(path().c_str(), &database), SQLITE_OK);
    EXPECT_EQ(sqlite3_exec(database, sql.c_str(), nullptr, nullptr, nullptr), SQLITE_OK)
        << sqlite3_errmsg(database);
    sqlite3_close(database);
  }
  std::string FileContent() const {
    std::ostringstream text;
    text << std::ifstream(path(), std::ios::binary).rdbuf();
    return text.str();
  }

  const testing::TemporaryDirectory directory_{"store"};
};

Plan PlanOf(const std::string& id) {
  return {id, "ann", "why", StepKind::kRestart, {{{"a", "i0"}, "bole", "g0", "g1"}}, Policy{}};
}

LeaseState LeaseOf(Epoch epoch, const std::string& change) {
  const Holder holder{change, "ann", "why", 5, "ann.1"};
  return {epoch, holder, holder};
}

InstanceRecord RecordOf(int number) {
  InstanceRecord record;
  record.generation = "g" + std::to_string(number);
  record.step = {"c1", StepKind::kRestart, false, record.generation, 3, "g0"};
  record.token = record.step.token();
  record.phase = Phase::kAccepted;
  record.failure_reason = std::string(200, 'w');
  return record;
}

// Stores a lease, a plan, events and 60 records, which fill many pages of the file.
void SaveManyRecords(SqliteStore& store) {
  const Plan plan = PlanOf("c1");
  ASSERT_EQ(store.SaveLease(LeaseOf(3, "c1"), &plan, {1, "c1", "opened"}), std::nullopt);
  for (int i = 0; i < 60; ++i)
    ASSERT_EQ(store.SaveRecord("i" + std::to_string(i), RecordOf(i), {2, "c1", "taken"}), std::nullopt);
}

TEST_F(StoreTest, RestoresLeaseRecordsPlansAndEventsWhenReopened) {
  {
    SqliteStore store(path());
    ASSERT_EQ(store.fault(), "");
    SaveManyRecords(store);
  }
  const SqliteStore again(path());
  EXPECT_EQ(again.fault(), "");
  EXPECT_EQ(again.stored().lease, LeaseOf(3, "c1"));
  ASSERT_EQ(again.stored().records.size(), 60U);
  EXPECT_EQ(again.stored().records.at("i7"), RecordOf(7));
  EXPECT_EQ(again.stored().plans.at("c1"), PlanOf("c1"));
  EXPECT_EQ(again.Events(2).size(), 2U);
  struct stat info {};
  ASSERT_EQ(::stat(path().c_str(), &info), 0);
  EXPECT_EQ(info.st_mode & 0777U, 0600U);
}

TEST_F(StoreTest, RetainsOnlyTheLatestPlans) {
  SqliteStore store(path());
  for (int i = 0; i <= SqliteStore::kMaxPlans; ++i) {
    const std::string id = "c" + std::to_string(i);
    const Plan plan = PlanOf(id);
    ASSERT_EQ(store.SaveLease(LeaseOf(static_cast<Epoch>(i), id), &plan, {}), std::nullopt);
  }
  const SqliteStore again(path());
  EXPECT_EQ(again.stored().plans.size(), static_cast<std::size_t>(SqliteStore::kMaxPlans));
  EXPECT_FALSE(again.stored().plans.contains("c0"));
}

// Runs in a child process with a file size limit, so that writes fail as on a full disk. Afterwards the file
// may have only the save that was reported as successful.
TEST_F(StoreTest, SaveOnFullDiskIsRolledBackAndSucceedsOnceThereIsSpace) {
  {
    SqliteStore store(path());
    SaveManyRecords(store);
  }
  const pid_t child = ::fork();
  if (child == 0) {
    ::signal(SIGXFSZ, SIG_IGN);
    SqliteStore store(path());
    struct rlimit none {};
    ::getrlimit(RLIMIT_FSIZE, &none);
    struct rlimit full = none;
    full.rlim_cur = 4096;  // less than the file's size: nothing can be written after its first page
    ::setrlimit(RLIMIT_FSIZE, &full);
    const bool failed =
        CauseOf(store.SaveRecord("i3", RecordOf(100), {9, "c1", "lost"})) == Cause::kSaveFailed &&
        !store.fault().empty() &&
        CauseOf(store.SaveLease(LeaseOf(9, "c1"), nullptr, {})) == Cause::kSaveFailed;
    ::setrlimit(RLIMIT_FSIZE, &none);
    const bool recovered =
        !store.SaveRecord("i4", RecordOf(101), {9, "c1", "kept"}).has_value() && store.fault().empty();
    ::_exit(failed && recovered ? 0 : 1);
  }
  int status = 0;
  ASSERT_EQ(::waitpid(child, &status, 0), child);
  EXPECT_EQ(status, 0);
  const SqliteStore again(path());
  EXPECT_EQ(again.fault(), "");
  EXPECT_EQ(again.stored().lease.highest, 3U);
  EXPECT_EQ(again.stored().records.at("i3"), RecordOf(3));
  EXPECT_EQ(again.stored().records.at("i4"), RecordOf(101));
  EXPECT_EQ(again.Events(1).at(0).line, "kept");
}

// The file is truncated after each page. It must never be read as if the rest had not existed.
TEST_F(StoreTest, TruncatedFileIsRejectedAndNotWrittenTo) {
  constexpr std::size_t kPage = 4096;
  {
    SqliteStore store(path());
    SaveManyRecords(store);
  }
  const std::string complete = FileContent();
  ASSERT_GT(complete.size(), 4 * kPage);
  for (std::size_t cut = kPage; cut < complete.size(); cut += kPage) {
    std::ofstream(path(), std::ios::binary | std::ios::trunc) << complete.substr(0, cut);
    SqliteStore store(path());
    EXPECT_NE(store.fault().find("state.sqlite: "), std::string::npos) << cut;
    EXPECT_NE(store.fault().find("move it away to start with an empty one"), std::string::npos) << cut;
    EXPECT_TRUE(store.stored().records.empty()) << cut;
    ASSERT_TRUE(store.error()) << cut;
    EXPECT_EQ(store.SaveRecord("i0", RecordOf(1), {}), store.error()) << cut;
    EXPECT_NE(store.error()->cause, Cause::kSaveFailed) << cut;
    EXPECT_EQ(FileContent(), complete.substr(0, cut)) << "the damaged file was written to";
  }
}

TEST_F(StoreTest, FileOfLaterVersionIsRejected) {
  { SqliteStore store(path()); }
  ExecuteSql("PRAGMA user_version = 2");
  SqliteStore store(path());
  EXPECT_NE(store.fault().find("later version (2, this one knows 1)"), std::string::npos) << store.fault();
  EXPECT_EQ(CauseOf(store.SaveLease(LeaseOf(1, "c1"), nullptr, {})), Cause::kLaterVersion);
}

TEST_F(StoreTest, OpenChangeWithoutPlanAndUnparsableRecordAreDamage) {
  {
    SqliteStore store(path());
    SaveManyRecords(store);
  }
  const std::string complete = FileContent();
  ExecuteSql("DELETE FROM plan");
  EXPECT_NE(SqliteStore(path()).fault().find("no plan of the open change c1"), std::string::npos);
  EXPECT_EQ(CauseOf(SqliteStore(path()).error()), Cause::kDamaged);
  std::ofstream(path(), std::ios::binary | std::ios::trunc) << complete;
  ExecuteSql("UPDATE record SET json = '{\"phase\": 7}' WHERE instance = 'i5'");
  EXPECT_FALSE(SqliteStore(path()).fault().empty());
  EXPECT_EQ(CauseOf(SqliteStore(path()).error()), Cause::kDamaged);
}

// Another connection locks the file, as a backup does while it reads the file.
TEST_F(StoreTest, SaveFailsWhileFileIsLockedAndSucceedsAfterwards) {
  SqliteStore store(path());
  SaveManyRecords(store);
  sqlite3* other = nullptr;
  ASSERT_EQ(sqlite3_open(path().c_str(), &other), SQLITE_OK);
  ASSERT_EQ(sqlite3_exec(other, "BEGIN EXCLUSIVE", nullptr, nullptr, nullptr), SQLITE_OK);
  EXPECT_EQ(CauseOf(store.SaveRecord("i1", RecordOf(50), {})), Cause::kSaveFailed);
  EXPECT_NE(store.fault().find("locked"), std::string::npos) << store.fault();
  ASSERT_EQ(sqlite3_exec(other, "COMMIT", nullptr, nullptr, nullptr), SQLITE_OK);
  sqlite3_close(other);
  EXPECT_EQ(store.SaveRecord("i1", RecordOf(51), {}), std::nullopt);
  EXPECT_EQ(store.fault(), "");
}

}  // namespace
}  // namespace mothrack::agent
