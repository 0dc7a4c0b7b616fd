#include "standins/relay_link.h"

#include <algorithm>

namespace mothrack::testing::relay {
namespace {

using std::chrono::microseconds;

std::mt19937_64 RandomOf(std::uint64_t seed, const std::string& from, const std::string& to) {
  std::vector<std::uint32_t> words = {static_cast<std::uint32_t>(seed),
                                      static_cast<std::uint32_t>(seed >> 32)};
  for (const char c : from + '>' + to) words.push_back(static_cast<unsigned char>(c));
  std::seed_seq sequence(words.begin(), words.end());
  return std::mt19937_64(sequence);
}

// A uniform number in [0, 1). The distributions of the standard library are not used, as their results differ
// between implementations.
double UniformShare(std::mt19937_64& random) { return static_cast<double>(random() >> 11) * 0x1p-53; }

}  // namespace

Counts& Counts::operator+=(const Counts& other) {
  received += other.received, delivered += other.delivered, bytes += other.bytes;
  lost += other.lost, cut += other.cut, queue_full += other.queue_full, send_errors += other.send_errors;
  duplicated += other.duplicated, reordered += other.reordered;
  connections += other.connections, resets += other.resets, tcp_bytes += other.tcp_bytes;
  return *this;
}

bool Selects(const std::string& selector, const Endpoint& endpoint) {
  return selector == "*" || selector == endpoint.name ||
         std::ranges::find(endpoint.groups, selector) != endpoint.groups.end();
}

Link::Link(const Endpoint& from, const Endpoint& to, std::uint64_t seed)
    : from_(from), to_(to), random_(RandomOf(seed, from.name, to.name)) {}

bool Link::IsCut() const { return faults.cut || from_.side != to_.side; }

DatagramDraws Link::Draw() {
  DatagramDraws draws;
  draws.lost = UniformShare(random_) < faults.loss;
  draws.duplicated = UniformShare(random_) < faults.duplicate;
  draws.reordered = UniformShare(random_) < faults.reorder;
  const double jitter = UniformShare(random_) * static_cast<double>(microseconds(faults.jitter).count());
  draws.extra_delay = microseconds(static_cast<std::int64_t>(jitter));
  if (draws.reordered) draws.extra_delay += faults.reorder_delay;
  return draws;
}

Clock::time_point Link::Schedule(Clock::time_point arrived_at, std::size_t size, microseconds extra_delay,
                                 bool ordered) {
  Clock::time_point sent = arrived_at;
  if (faults.bytes_per_s > 0) {
    const double seconds = static_cast<double>(size) / static_cast<double>(faults.bytes_per_s);
    sent = std::max(arrived_at, busy_until_) + microseconds(static_cast<std::int64_t>(seconds * 1e6));
    busy_until_ = sent;
  }
  Clock::time_point due = sent + faults.delay + extra_delay;
  if (ordered) due = last_due_ = std::max(due, last_due_);
  return due;
}

void Link::ResetSchedule() { last_due_ = busy_until_ = {}; }

}  // namespace mothrack::testing::relay
