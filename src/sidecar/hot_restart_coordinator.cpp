#include "sidecar/hot_restart_coordinator.h"

#include <fcntl.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace mothrack::sidecar {
namespace {

// Time for the serving process to answer, including a wait for another successor.
constexpr runtime::Duration kTakeOverTimeout = std::chrono::seconds(3);
// Interval at which the descriptors are redistributed between the two processes.
constexpr auto kReleaseInterval = std::chrono::milliseconds(100);
// Retry interval for bans that could not be written.
constexpr auto kBanWriteRetry = std::chrono::seconds(1);
// Descriptors that the predecessor keeps to finish its last answers.
constexpr std::size_t kMinReservedDescriptors = 32;
// Bytes reserved for "." and a process id after the path of the socket.
constexpr std::size_t kMaxPathSuffix = 16;

}  // namespace

HotRestartCoordinator::HotRestartCoordinator(boost::asio::io_context& io, std::string path,
                                             runtime::Descriptors& descriptors, runtime::Logger& log)
    : io_(io),
      path_(std::move(path)),
      descriptors_(descriptors),
      log_(log),
      release_timer_(io),
      ban_write_timer_(io) {
  if (path_.empty()) return;
  if (path_.size() + kMaxPathSuffix >= sizeof(sockaddr_un::sun_path)) {
    const auto slash = path_.rfind('/');
    directory_ = ::open(path_.substr(0, slash).c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC);
    path_ = "/proc/self/fd/" + std::to_string(directory_) + path_.substr(slash);
  }
  inherited_ = hot_restart::TakeOver(io, path_, kTakeOverTimeout, log);
  if (inherited_) {
    log_.FreeText("handover: takes over from the process that serves");
    bans_ = inherited_->state.bans;
    ReserveForPredecessor(inherited_->state.sockets);
  } else {
    bans_ = hot_restart::ReadBans(path_ + ".bans", log);
  }
}

HotRestartCoordinator::~HotRestartCoordinator() {
  server_.reset();
  if (directory_ >= 0) ::close(directory_);
}

Sidecar::Inheritance HotRestartCoordinator::Inherit() {
  Sidecar::Inheritance inheritance;
  inheritance.share_port = !path_.empty();
  inheritance.bans = bans_;
  if (!inherited_) return inheritance;
  inheritance.listening = inherited_->listening;
  inheritance.wait_for_list = inheritance.share_memory = true;
  inheritance.quiescing = inherited_->state.quiescing;
  inheritance.ids = inherited_->state.request_ids;
  inheritance.starts = inherited_->state.starts;
  inheritance.last_list = inherited_->state.last_list;
  return inheritance;
}

void HotRestartCoordinator::Serve(Sidecar& sidecar) {
  sidecar_ = &sidecar;
  if (path_.empty()) return;
  hot_restart::HotRestartServer::Handler& handler = *this;
  server_ = std::make_unique<hot_restart::HotRestartServer>(
      io_, path_, inherited_ ? inherited_->link : nullptr, handler, log_);
  inherited_.reset();
  sidecar.SetIdObserver([this](const std::string& id) { server_->Notify({.request_id = id}); });
  server_->AnnounceReady();
}

bool HotRestartCoordinator::Ban(Sidecar& sidecar, const std::string& uid, bool banned) {
  if (!(banned ? sidecar.Ban(uid) : sidecar.Unban(uid))) return false;
  if (banned) {
    bans_.insert(uid);
  } else {
    bans_.erase(uid);
  }
  PersistBans();
  hot_restart::Update update;
  (banned ? update.ban : update.unban) = uid;
  if (server_) server_->Notify(update);
  return true;
}

void HotRestartCoordinator::Quiesce(Sidecar& sidecar, bool on) {
  sidecar.Quiesce(on);
  if (server_) server_->Notify({.quiesce = on});
}

// A confirmed ban holds at once: it is in memory, and writing it to disk is retried until it succeeds.
void HotRestartCoordinator::PersistBans() {
  if (path_.empty()) return;
  const auto fault = hot_restart::WriteBans(path_ + ".bans", bans_);
  if (fault && !ban_storage_error_) log_.Warn("bans_not_kept", {{"cause", *fault}});
  if (!fault && ban_storage_error_) log_.Info("bans_kept_again");
  ban_storage_error_ = fault;
  ban_write_timer_.cancel();
  if (!fault) return;
  ban_write_timer_.expires_after(kBanWriteRetry);
  ban_write_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) PersistBans();
  });
}

hot_restart::State HotRestartCoordinator::ExportState() {
  hot_restart::State state;
  state.bans = bans_;
  state.request_ids = sidecar_->RecentIds();
  state.quiescing = sidecar_->quiescing();
  state.starts = sidecar_->ProcessStarts();
  state.last_list = sidecar_->LastListTime();
  reserved_descriptors_ = std::max(descriptors_.used(), descriptors_.uncapped_limit() / 2);
  descriptors_.Cap(reserved_descriptors_);
  sidecar_->ShareMemory(true);
  state.sockets = reserved_descriptors_;
  return state;
}

void HotRestartCoordinator::OnSuccessorReady() {
  sidecar_->StopAccepting();
  ReleaseDescriptors();
}

void HotRestartCoordinator::ReleaseDescriptors() {
  const std::size_t needed = std::max(descriptors_.used(), kMinReservedDescriptors);
  if (needed < reserved_descriptors_) {
    reserved_descriptors_ = needed;
    descriptors_.Cap(reserved_descriptors_);
    server_->NotifySuccessor({.sockets = reserved_descriptors_});
  }
  release_timer_.expires_after(kReleaseInterval);
  release_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && server_->has_successor()) ReleaseDescriptors();
  });
}

void HotRestartCoordinator::OnSuccessorExited() {
  release_timer_.cancel();
  descriptors_.Uncap();
  sidecar_->ShareMemory(false);
  sidecar_->ResumeAccepting();
}

void HotRestartCoordinator::OnPredecessorExited() {
  log_.FreeText("handover: the former process is gone");
  descriptors_.Uncap();
  sidecar_->ShareMemory(false);
}

void HotRestartCoordinator::ReserveForPredecessor(std::size_t sockets) {
  const std::size_t reserved = sockets + descriptors_.fixed();
  descriptors_.Cap(descriptors_.uncapped_limit() > reserved ? descriptors_.uncapped_limit() - reserved : 1);
}

void HotRestartCoordinator::OnUpdate(const hot_restart::Update& update) {
  if (update.ban) {
    bans_.insert(*update.ban);
    sidecar_->RestoreBans({*update.ban});
  }
  if (update.unban) {
    bans_.erase(*update.unban);
    sidecar_->Unban(*update.unban);
  }
  if (update.request_id) sidecar_->ImportId(*update.request_id);
  if (update.quiesce) sidecar_->Quiesce(*update.quiesce);
  if (update.sockets && (!server_ || server_->has_predecessor())) ReserveForPredecessor(*update.sockets);
}

}  // namespace mothrack::sidecar
