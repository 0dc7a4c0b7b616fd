#include "gossip/gossip_rounds.h"

#include <string>
#include <utility>
#include <vector>

namespace mothrack::gossip {

void GossipRounds::RunIfDue(TimePoint now, CoreOutput& out) {
  if (now < next()) return;
  round_at_ = now + context_.config.gossip_interval;
  for (const std::string& name :
       context_.membership.SampleLive(context_.config.fanout, "", context_.random)) {
    if (context_.updates.empty()) break;
    Message gossip = sender_.Make(MessageKind::kGossip);
    if (const auto* suspect = NextFirstHandSuspect()) gossip.subject = suspect->update;
    const std::string& address = context_.membership.Find(name)->update.address;
    if (!sender_.Send(address, std::move(gossip), TrafficClass::kDissemination, now, out)) break;
  }
}

TimePoint GossipRounds::next() const {
  return context_.updates.empty() || context_.alone() ? TimePoint::max() : round_at_;
}

const Membership::Member* GossipRounds::NextFirstHandSuspect() {
  std::vector<const Membership::Member*> suspects;
  for (const auto& [ends, name] : context_.membership.suspects()) {
    const auto* member = context_.membership.Find(name);
    if (member->reporters.contains(context_.self.boot_id.name)) suspects.push_back(member);
  }
  return suspects.empty() ? nullptr : suspects[suspect_turn_++ % suspects.size()];
}

}  // namespace mothrack::gossip
