#include "gossip/rejoin.h"

#include <set>

namespace mothrack::gossip {
namespace {

// Number of probe intervals between two attempts while other members are live. The attempts then cost at most
// one datagram in ten, and two halves of a fleet find each other within seconds.
constexpr int kIntervalsBetweenAttempts = 10;

}  // namespace

void Rejoin::SetSeeds(std::vector<std::string> addresses) {
  std::erase(addresses, context_.self.address);
  seeds_ = std::move(addresses);
}

void Rejoin::RunIfDue(TimePoint now, CoreOutput& out) {
  if (now < attempt_at_) return;
  const bool alone = context_.alone();
  attempt_at_ = now + context_.config.probe_interval * (alone ? 1 : kIntervalsBetweenAttempts);
  std::vector<Target> targets = Candidates();
  if (!alone && !targets.empty()) targets = {targets[context_.random.Below(targets.size())]};
  for (const auto& [address, member] : targets) {
    Message ping = sender_.Make(MessageKind::kPing);
    ping.sequence = probes_.NewSequence();
    if (member != nullptr) ping.subject = *member;
    sender_.Send(address, std::move(ping), TrafficClass::kProbe, now, out);
    if (!alone) anti_entropy_.SendDigest(address, now, out);
  }
}

std::vector<Rejoin::Target> Rejoin::Candidates() {
  const Membership& membership = context_.membership;
  std::set<std::string> live_addresses;
  for (const std::string& name : membership.live()) {
    live_addresses.insert(membership.Find(name)->update.address);
  }
  std::vector<const MembershipUpdate*> dead;
  for (const auto& [since, name] : membership.departed()) {
    const MembershipUpdate& member = membership.Find(name)->update;
    if (member.state == MemberState::kDead) dead.push_back(&member);
  }
  if (context_.alone() && !dead.empty()) dead = {dead[context_.random.Below(dead.size())]};
  std::vector<Target> targets;
  for (const std::string& seed : seeds_) {
    if (!live_addresses.contains(seed)) targets.emplace_back(seed, nullptr);
  }
  for (const MembershipUpdate* member : dead) targets.emplace_back(member->address, member);
  return targets;
}

}  // namespace mothrack::gossip
