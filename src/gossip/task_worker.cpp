#include "gossip/task_worker.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <variant>
#include <vector>

#include "gossip/keys.h"
#include "gossip/task_error.h"
#include "gossip/wire.h"

namespace mothrack::gossip {
namespace {

// Maximum number of datagrams received in one turn. Even with the longest messages they take less than 10 ms
// on a healthy machine, so that a flood does not delay commands and timers by more than that.
constexpr int kMaxReadsPerTurn = 64;
// Pause after a failed read, so that a broken socket does not cause a busy loop.
constexpr Duration kReadPause{100};
// Maximum sleep if nothing is due.
constexpr Duration kMaxSleep{1000};

TimePoint SteadyNow() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

std::uint64_t RandomSeed() {
  std::random_device random;
  return std::uint64_t{random()} << 32 | random();
}

std::uint64_t UnixMicroseconds() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

KeyRing LoadConfiguredKeys(const std::string& path) {
  try {
    return LoadKeys(path);
  } catch (const std::exception& e) {
    throw TaskError(std::string("peers.key_file: ") + e.what());
  }
}

MembershipUpdate LocalMember(const Settings& settings, const std::string& name,
                             const runtime::Endpoint& local) {
  if (!IsValidName(name)) {
    throw TaskError("peers: " + name.substr(0, kMaxNameSize) +
                    " is not a valid member name; use letters, digits, '-', "
                    "'_' and '.', at most " +
                    std::to_string(kMaxNameSize) + ", not starting with a dot");
  }
  MembershipUpdate self;
  self.boot_id = {name, UnixMicroseconds()};
  self.role = settings.role;
  self.address = ToText(settings.advertise.value_or(local));
  self.zone = settings.zone;
  return self;
}

}  // namespace

TaskWorker::TaskWorker(const Settings& settings, const std::string& name, TurnHook turn_hook)
    : settings_(settings),
      turn_hook_(std::move(turn_hook)),
      socket_(settings.listen),
      log_(name),
      seal_(LoadConfiguredKeys(settings.key_file)),
      core_(LocalMember(settings, name, socket_.local()), settings.protocol, RandomSeed(), SteadyNow()) {
  std::vector<std::string> seeds;
  for (const runtime::Endpoint& seed : settings.seeds) seeds.push_back(ToText(seed));
  core_.SetSeeds(std::move(seeds));
}

void TaskWorker::Run() noexcept {
  try {
    while (!stop_) RunTurn();
    // Run the commands posted before the stop, so that the other members learn of a leave at once.
    RunCommands(SteadyNow());
    FlushOutput();
  } catch (const std::exception& e) {
    OnFailure(e.what());
  } catch (...) {  // the thread's outermost frame: an exception that leaves it would end the program
    OnFailure("an unknown exception");
  }
}

void TaskWorker::RequestStop() {
  stop_ = true;
  commands_.Signal();
}

void TaskWorker::OnFailure(const std::string& cause) noexcept {
  ++failures_;
  log_.Error("peers_task_ended", {{"cause", cause}});
}

void TaskWorker::RunTurn() {
  if (turn_hook_) turn_hook_();
  Wait();
  const TimePoint now = SteadyNow();
  RunCommands(now);
  if (now >= reading_paused_until_) ReceiveDatagrams(now);
  if (now >= core_.next()) core_.Tick(now, output_);
  FlushOutput();
  if (now >= publisher_.due()) PublishSnapshot(now);
}

// poll() suffices for two fixed descriptors; epoll would need a third one.
void TaskWorker::Wait() {
  const TimePoint now = SteadyNow();
  const TimePoint due = std::min({core_.next(), publisher_.due(), now + kMaxSleep});
  // At least 1 ms, so that the thread never spins, even if the core is always due.
  const auto wait_ms = std::clamp<std::int64_t>((due - now).count(), 1, kMaxSleep.count());
  const int socket = now >= reading_paused_until_ ? socket_.fd() : -1;
  std::array<pollfd, 2> awaited{{{commands_.descriptor(), POLLIN, 0}, {socket, POLLIN, 0}}};
  const int ready = ::poll(awaited.data(), awaited.size(), static_cast<int>(wait_ms));
  if (ready > 0 && awaited[0].revents != 0) commands_.ClearSignal();
}

void TaskWorker::RunCommands(TimePoint now) {
  for (std::size_t i = 0; i < kMaxPendingCommands; ++i) {
    const auto command = commands_.TryPop();
    if (!command) return;
    std::visit([&](const auto& value) { Run(value, now); }, *command);
  }
  commands_.Signal();  // there may be more, and their signal was cleared
}

void TaskWorker::Run(const PutValueCommand& command, TimePoint now) {
  if (!core_.Put(command.key, command.bytes, command.ttl, now)) {
    log_.Warn("peers_value_refused", {{"value", command.key}});
  }
  publisher_.RememberKey(command.key);
  publisher_.MarkChanged();
}

void TaskWorker::Run(const LeaveCommand&, TimePoint now) {
  core_.Leave(now, output_);
  publisher_.MarkChanged();
}

void TaskWorker::Run(const ReloadKeysCommand&, TimePoint) {
  try {
    seal_.ReplaceKeys(LoadKeys(settings_.key_file));
    log_.FreeText("peers: " + settings_.key_file + " read again");
  } catch (const std::exception& e) {
    log_.Error("peers_keys_kept", {{"cause", e.what()}});
  }
}

void TaskWorker::ReceiveDatagrams(TimePoint now) {
  std::array<char, kMaxDatagramSize + 1> buffer;  // one more byte, to detect a datagram that is too long
  for (int i = 0; i < kMaxReadsPerTurn; ++i) {
    const UdpSocket::Received received = socket_.Receive(buffer);
    switch (received.status) {
      case IoStatus::kDone:
        ReceiveDatagram(received.datagram, received.from, now);
        break;
      case IoStatus::kInterrupted:
        break;
      case IoStatus::kWouldBlock:
        return;
      case IoStatus::kFailed:
        log_.LogSystemFailure("read", received.error);
        reading_paused_until_ = now + kReadPause;
        return;
    }
  }
}

// Verifies the seal before decoding, so that a sender without a key costs at most a hash and a counter, but
// no memory.
void TaskWorker::ReceiveDatagram(std::string_view datagram, const runtime::Endpoint& from, TimePoint now) {
  const Seal::Opened opened = seal_.Open(datagram);
  if (opened.verdict != SealVerdict::kAccepted) return;
  const auto message = Decode(opened.payload);
  if (!message) {
    ++undecodable_;
    return;
  }
  core_.Receive(*message, ToText(from), now, output_);
}

void TaskWorker::FlushOutput() {
  for (const Datagram& datagram : output_.datagrams) Send(datagram);
  for (const Change& change : output_.changes) OnChange(change);
  if (!output_.changes.empty()) publisher_.MarkChanged();
  output_.datagrams.clear();
  output_.changes.clear();
}

void TaskWorker::Send(const Datagram& datagram) {
  const auto to = runtime::ParseEndpoint(datagram.address);
  const auto sealed = seal_.Close(Encode(datagram.message));
  if (!to || !sealed) {  // an address from a member's update is parsed only here
    ++send_failures_;
    return;
  }
  const UdpSocket::Sent sent = socket_.Send(*sealed, *to);
  if (sent.status == IoStatus::kDone) return;
  ++send_failures_;
  if (sent.status != IoStatus::kWouldBlock) log_.LogSystemFailure("send", sent.error);
}

void TaskWorker::OnChange(const Change& change) {
  switch (change.kind) {
    case Change::Kind::kMember:
      if (change.member.state == MemberState::kDead)
        log_.Warn("peer_dead", {{"peer", change.member.boot_id.name}});
      if (change.member.state == MemberState::kLeft)
        log_.Info("peer_left", {{"peer", change.member.boot_id.name}});
      break;
    case Change::Kind::kValue:
      publisher_.RememberKey(change.value.key);
      break;
    case Change::Kind::kValueExpired:
      break;
    case Change::Kind::kLocalBootRaised:
      log_.Warn("peers_boot_raised");
      break;
  }
}

void TaskWorker::PublishSnapshot(TimePoint now) {
  auto snapshot = std::make_shared<MembershipSnapshot>(publisher_.Make(core_, now));
  snapshot->dropped = dropped();
  const SealCounts& sealed = seal_.counts();
  snapshot->unauthenticated = sealed.malformed + sealed.unknown_key + sealed.forged;
  snapshot->undecodable = undecodable_;
  snapshot->replayed = sealed.replayed;
  snapshot->send_failures = send_failures_;
  snapshots_.Push(std::move(snapshot));
}

}  // namespace mothrack::gossip
