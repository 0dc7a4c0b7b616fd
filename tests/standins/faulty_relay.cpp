#include "standins/faulty_relay.h"

#include <algorithm>
#include <chrono>

#include "standins/relay_report.h"

namespace mothrack::testing {

using relay::Clock;
using relay::Endpoint;
using relay::Link;

FaultyRelay::FaultyRelay(std::uint64_t seed)
    : topology_(seed), datagrams_(topology_, poller_), connections_(poller_) {
  thread_ = std::thread([this] { Loop(); });
}

FaultyRelay::~FaultyRelay() {
  stopping_ = true;
  poller_.Wake();
  thread_.join();
}

std::uint16_t FaultyRelay::AddEndpoint(const std::string& name, const std::vector<std::string>& groups,
                                       std::uint16_t udp_port) {
  const std::lock_guard lock(mutex_);
  Endpoint& endpoint = topology_.AddEndpoint(name, groups, udp_port);
  if (udp_port != 0) datagrams_.Open(endpoint);
  return endpoint.advertised;
}

void FaultyRelay::MoveEndpoint(const std::string& name, std::uint16_t udp_port) {
  const std::lock_guard lock(mutex_);
  datagrams_.Move(topology_.EndpointOf(name), udp_port);
}

std::uint16_t FaultyRelay::advertised_port(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  return topology_.AdvertisedPort(name);
}

std::uint16_t FaultyRelay::AddTcpPort(const std::string& from, const std::string& to,
                                      std::uint16_t real_port) {
  const std::lock_guard lock(mutex_);
  const Endpoint& from_endpoint = topology_.EndpointOf(from);
  const Endpoint& to_endpoint = topology_.EndpointOf(to);
  return connections_.Listen(topology_.LinkOf(from_endpoint, to_endpoint),
                             topology_.LinkOf(to_endpoint, from_endpoint), real_port);
}

void FaultyRelay::ChangeFaults(const std::string& from, const std::string& to,
                               const std::function<void(Faults&)>& change) {
  const std::lock_guard lock(mutex_);
  topology_.ForEachLink(from, to, [&](Link& link) { change(link.faults), link.faults_changed = true; });
  ApplyChangedFaults();
}

void FaultyRelay::Cut(const std::string& from, const std::string& to) {
  ChangeFaults(from, to, [](Faults& faults) { faults.cut = true; });
}

void FaultyRelay::Restore(const std::string& from, const std::string& to) {
  ChangeFaults(from, to, [](Faults& faults) { faults.cut = false; });
}

void FaultyRelay::Partition(const std::vector<std::vector<std::string>>& sides) {
  const std::lock_guard lock(mutex_);
  topology_.Partition(sides);
  poller_.Wake();  // queued data is checked for a cut when it is due
}

void FaultyRelay::Heal() { Partition({}); }

void FaultyRelay::ClearFaults() {
  Heal();
  const std::lock_guard lock(mutex_);
  for (const auto& [names, link] : topology_.links()) link->faults = {}, link->faults_changed = true;
  ApplyChangedFaults();
}

void FaultyRelay::ApplyChangedFaults() {
  for (const auto& [names, link] : topology_.links()) {
    if (link->faults_changed) link->ResetSchedule();
  }
  datagrams_.Reschedule();
  connections_.Reschedule();
  for (const auto& [names, link] : topology_.links()) link->faults_changed = false;
  poller_.Wake();
}

void FaultyRelay::ResetConnections(const std::string& from, const std::string& to) {
  const std::lock_guard lock(mutex_);
  connections_.Reset(from, to);
}

FaultyRelay::Counts FaultyRelay::counts(const std::string& from, const std::string& to) const {
  const std::lock_guard lock(mutex_);
  return topology_.CountsOf(from, to);
}

std::uint64_t FaultyRelay::unknown_senders() const {
  const std::lock_guard lock(mutex_);
  return datagrams_.unknown_senders();
}

std::size_t FaultyRelay::queued_bytes() const {
  const std::lock_guard lock(mutex_);
  return topology_.QueuedBytes();
}

std::string FaultyRelay::Describe() const {
  const std::lock_guard lock(mutex_);
  return relay::Describe(topology_, datagrams_.unknown_senders());
}

int FaultyRelay::PollTimeoutMs() const {
  const std::lock_guard lock(mutex_);
  const Clock::time_point next = std::min(datagrams_.NextDue(), connections_.NextDue());
  if (next == Clock::time_point::max()) return -1;
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(next - Clock::now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, 1000));
}

void FaultyRelay::Loop() {
  while (!stopping_) {
    // A change after PollTimeoutMs() also calls Wake(), which ends the wait.
    const auto events = poller_.Wait(PollTimeoutMs());
    const std::lock_guard lock(mutex_);
    const auto now = Clock::now();
    for (const epoll_event& event : events) HandleEvents(event.data.fd, event.events, now);
    datagrams_.Deliver(Clock::now());
    connections_.Advance();
  }
}

void FaultyRelay::HandleEvents(int fd, std::uint32_t events, Clock::time_point now) {
  if (datagrams_.Owns(fd)) {
    datagrams_.Receive(fd);
  } else if (connections_.OwnsListener(fd)) {
    connections_.Accept(fd);
  } else {
    connections_.HandleEvents(fd, events, now);
  }
}

}  // namespace mothrack::testing
