#include "sidecar/hot_restart_coordinator.h"

#include <fcntl.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace mothrack::sidecar {
namespace {

// For the serving process to answer, and to wait for another successor of it.
constexpr runtime::Duration kPatience = std::chrono::seconds(3);
constexpr auto kGiveBack = std::chrono::milliseconds(100);
// Until bans that could not be written are written again.
constexpr auto kWriteAgain = std::chrono::seconds(1);
// Kept by the one that leaves, for its last answers.
constexpr std::size_t kLeastKept = 32;
// "." and a process id behind the path of the socket.
constexpr std::size_t kLongestSuffix = 16;

}  // namespace

HotRestartCoordinator::HotRestartCoordinator(boost::asio::io_context& io, const std::string& path,
                                             runtime::Descriptors& descriptors, runtime::Logger& log)
    : io_(io), path_(path), descriptors_(descriptors), log_(log), give_back_(io), write_again_(io) {
  if (path_.empty()) return;
  if (path_.size() + kLongestSuffix >= sizeof(sockaddr_un::sun_path)) {
    const auto slash = path_.rfind('/');
    directory_ = ::open(path_.substr(0, slash).c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC);
    path_ = "/proc/self/fd/" + std::to_string(directory_) + path_.substr(slash);
  }
  taken_ = hot_restart::TakeOver(io, path_, kPatience, log);
  if (taken_) {
    log_.Line("handover: takes over from the process that serves");
    bans_ = taken_->state.bans;
    PredecessorKeeps(taken_->state.sockets);
  } else {
    bans_ = hot_restart::ReadBans(path_ + ".bans", log);
  }
}

HotRestartCoordinator::~HotRestartCoordinator() {
  handover_.reset();
  if (directory_ >= 0) ::close(directory_);
}

Sidecar::Inheritance HotRestartCoordinator::Inherit() {
  Sidecar::Inheritance inheritance;
  inheritance.share_port = !path_.empty();
  inheritance.bans = bans_;
  if (!taken_) return inheritance;
  inheritance.listening = taken_->listening;
  inheritance.wait_for_list = inheritance.share_memory = true;
  inheritance.resting = taken_->state.resting;
  inheritance.ids = taken_->state.ids;
  inheritance.starts = taken_->state.starts;
  inheritance.last_list = taken_->state.last_list;
  return inheritance;
}

void HotRestartCoordinator::Serve(Sidecar& sidecar) {
  sidecar_ = &sidecar;
  if (path_.empty()) return;
  hot_restart::Handover::Owner& self = *this;
  handover_ =
      std::make_unique<hot_restart::Handover>(io_, path_, taken_ ? taken_->link : nullptr, self, log_);
  taken_.reset();
  sidecar.ObserveIds([this](const std::string& id) { handover_->Tell({{"id", id}}); });
  handover_->Ready();
}

bool HotRestartCoordinator::Ban(Sidecar& sidecar, const std::string& uid, bool banned) {
  if (!(banned ? sidecar.Ban(uid) : sidecar.Unban(uid))) return false;
  if (banned) {
    bans_.insert(uid);
  } else {
    bans_.erase(uid);
  }
  KeepBans();
  if (handover_) handover_->Tell({{banned ? "ban" : "unban", uid}});
  return true;
}

void HotRestartCoordinator::Rest(Sidecar& sidecar, bool on) {
  sidecar.Rest(on);
  if (handover_) handover_->Tell({{"rest", on}});
}

// What people were told holds from now on: it is kept in memory, and written again until it is on disk.
void HotRestartCoordinator::KeepBans() {
  if (path_.empty()) return;
  const auto fault = hot_restart::WriteBans(path_ + ".bans", bans_);
  if (fault && !bans_fault_) log_.Line("bans are not kept for a next process yet: " + *fault);
  if (!fault && bans_fault_) log_.Line("bans are kept for a next process again");
  bans_fault_ = fault;
  write_again_.cancel();
  if (!fault) return;
  write_again_.expires_after(kWriteAgain);
  write_again_.async_wait([this](const boost::system::error_code& error) {
    if (!error) KeepBans();
  });
}

hot_restart::State HotRestartCoordinator::GiveState() {
  hot_restart::State state;
  state.bans = bans_;
  state.ids = sidecar_->RecentIds();
  state.resting = sidecar_->resting();
  state.starts = sidecar_->ProcessStarts();
  state.last_list = sidecar_->LastList();
  kept_ = std::max(descriptors_.used(), descriptors_.full() / 2);
  descriptors_.Cap(kept_);
  sidecar_->ShareMemory(true);
  state.sockets = kept_;
  return state;
}

void HotRestartCoordinator::Succeeded() {
  sidecar_->HandOver();
  GiveBack();
}

void HotRestartCoordinator::GiveBack() {
  const std::size_t needed = std::max(descriptors_.used(), kLeastKept);
  if (needed < kept_) {
    kept_ = needed;
    descriptors_.Cap(kept_);
    handover_->TellSuccessor({{"sockets", kept_}});
  }
  give_back_.expires_after(kGiveBack);
  give_back_.async_wait([this](const boost::system::error_code& error) {
    if (!error && handover_->has_successor()) GiveBack();
  });
}

void HotRestartCoordinator::SuccessorGone() {
  give_back_.cancel();
  descriptors_.Uncap();
  sidecar_->ShareMemory(false);
  sidecar_->TakeBack();
}

void HotRestartCoordinator::PredecessorGone() {
  log_.Line("handover: the former process is gone");
  descriptors_.Uncap();
  sidecar_->ShareMemory(false);
}

void HotRestartCoordinator::PredecessorKeeps(std::size_t sockets) {
  const std::size_t taken = sockets + descriptors_.fixed();
  descriptors_.Cap(descriptors_.full() > taken ? descriptors_.full() - taken : 1);
}

void HotRestartCoordinator::Heard(const nlohmann::json& line) {
  const auto text = [&line](const char* name) {
    const auto it = line.find(name);
    return it != line.end() && it->is_string() ? it->get<std::string>() : std::string();
  };
  if (const auto uid = text("ban"); !uid.empty()) {
    bans_.insert(uid);
    sidecar_->RestoreBans({uid});
  }
  if (const auto uid = text("unban"); !uid.empty()) {
    bans_.erase(uid);
    sidecar_->Unban(uid);
  }
  if (const auto id = text("id"); !id.empty()) sidecar_->KnowId(id);
  if (const auto it = line.find("rest"); it != line.end() && it->is_boolean())
    sidecar_->Rest(it->get<bool>());
  if (const auto it = line.find("sockets"); it != line.end() && it->is_number_unsigned()) {
    if (!handover_ || handover_->has_predecessor()) PredecessorKeeps(it->get<std::size_t>());
  }
}

}  // namespace mothrack::sidecar
