#include "change_freeze/ledger.h"

#include <algorithm>

namespace mothrack::change_freeze {

Ledger::Judgement Ledger::Judge(ChangeKind kind, const Footprint& footprint,
                                const std::set<std::uint64_t>& remedies) const {
  Judgement worst;
  for (const Incident& incident : incidents.all()) {
    if (!incident.Freezes()) continue;
    Effect effect = EffectOf(kind, RelationOf(footprint, incident.scope), incident.kind);
    std::string why =
        "incident " + std::to_string(incident.id) + " (" + incident.cause + ", " + incident.owner + ')';
    if (effect == Effect::kRemedy) {
      effect = remedies.contains(incident.id) ? Effect::kAllowed : Effect::kPaused;
      why += "; as its remedy, name it";
    }
    if (effect < worst.effect) worst = {effect, why};
  }
  // What is no remedy of the incident that it names is told so, also where nothing stands against it.
  for (const std::uint64_t id : remedies) {
    const Incident* incident = incidents.Find(id);
    if (worst.effect != Effect::kAllowed || incident == nullptr) continue;
    if (EffectOf(kind, RelationOf(footprint, incident->scope), incident->kind) != Effect::kRemedy) {
      worst = {Effect::kBlocked, "this is no remedy of incident " + std::to_string(id)};
    }
  }
  return worst;
}

void Ledger::End(Permit& permit, Word::State state, const std::string& why, TimePoint now) {
  permit.state = state;
  permit.why = why;
  if (!permit.over) permit.since = now;
  permit.over = true;
}

std::string Ledger::Ask(const PermitAsk& wanted, TimePoint now) {
  PermitAsk ask = wanted;
  if (ask.footprint.instances.size() > kMostInstances) ask.footprint.instances.clear();
  Settle(now);
  if (ask.change.empty() || ask.change.size() > kLongestText || ask.who.size() > kLongestText ||
      ask.remedies.size() > kMostIncidents) {
    return "name the change and who wants it";
  }
  const Judgement judgement = Judge(ask.kind, ask.footprint, ask.remedies);
  Permit* own = nullptr;
  for (Permit& permit : permits_) {
    if (permit.change == ask.change) {
      own = &permit;
      if (permit.over) return "its former permit is still on its way; ask again";
      if (permit.kind == ask.kind && permit.footprint == ask.footprint) continue;
      End(permit, Word::State::kBlocked,
          "it goes on as " + std::string(kChangeKinds[static_cast<int>(ask.kind)]), now);
      return "its former permit is still on its way; ask again";
    }
    if (Exclude(permit.kind, permit.footprint, ask.kind, ask.footprint))
      return permit.change + " has a permit; wait for its end";
  }
  if (judgement.effect != Effect::kAllowed) return judgement.why;
  if (own != nullptr) {
    own->batch = std::max(own->batch, ask.batch);
    own->remedies = ask.remedies;
    own->asked = now;
    Settle(now);
    return {};
  }
  if (permits_.size() >= kMostPermits) return "there are too many permits; wait for an end";
  permits_.push_back({ask.change,
                      ask.kind,
                      ask.footprint,
                      ask.who,
                      ask.remedies,
                      ask.batch,
                      Word::State::kRunning,
                      {},
                      false,
                      now,
                      now});
  return {};
}

void Ledger::Done(const std::string& change, TimePoint now) {
  for (Permit& permit : permits_) {
    if (permit.change == change) End(permit, Word::State::kNone, "it has ended", now);
  }
}

Word Ledger::Confirm(const std::string& change, TimePoint now) {
  for (Permit& permit : permits_) {
    if (permit.change != change) continue;
    permit.asked = now;
    return {0, 0, change, permit.kind, permit.state, permit.batch, permit.why};
  }
  return {0, 0, change, ChangeKind::kRestart, Word::State::kNone, 0, {}};
}

void Ledger::Committed(const Ledger& before, TimePoint now) {
  for (Permit& permit : permits_) {
    const bool was = std::any_of(before.permits_.begin(), before.permits_.end(),
                                 [&](const Permit& p) { return p.change == permit.change && p.over; });
    if (permit.over && !was) permit.since = now;
  }
}

void Ledger::Settle(TimePoint now) {
  incidents.Turn(now);
  std::erase_if(permits_,
                [&](const Permit& p) { return p.over && now - p.since >= Lengthened(kPermitTime); });
  for (Permit& permit : permits_) {
    if (permit.over) continue;
    if (now - permit.asked >= kPermitIdle) {
      End(permit, Word::State::kNone, "nobody asked for it any more", now);
      continue;
    }
    // An incident that it mended may be closed by now.
    std::erase_if(permit.remedies, [&](std::uint64_t id) { return incidents.Find(id) == nullptr; });
    const Judgement judgement = Judge(permit.kind, permit.footprint, permit.remedies);
    permit.why = judgement.why;
    if (judgement.effect == Effect::kBlocked) {
      End(permit, Word::State::kBlocked, judgement.why, now);
    } else {
      permit.state = judgement.effect == Effect::kPaused ? Word::State::kPaused : Word::State::kRunning;
    }
  }
}

void Ledger::Broken(const std::vector<Glass>& glass) {
  for (const Glass& one : glass) {
    std::uint64_t& told = told_[one.agent];
    if (one.number <= told) continue;
    told = one.number;
    glass_.push_back(one);
  }
  if (glass_.size() > kMostGlassKept) glass_.erase(glass_.begin(), glass_.end() - kMostGlassKept);
}

std::uint64_t Ledger::GlassOf(const std::string& agent) const {
  const auto it = told_.find(agent);
  return it == told_.end() ? 0 : it->second;
}

bool Ledger::Alike(const Ledger& other) const {
  const auto alike = [](const Permit& a, const Permit& b) {
    return a.change == b.change && a.kind == b.kind && a.batch == b.batch && a.state == b.state &&
           a.over == b.over && a.remedies == b.remedies && a.footprint == b.footprint;
  };
  return incidents.Alike(other.incidents) && told_ == other.told_ &&
         std::equal(permits_.begin(), permits_.end(), other.permits_.begin(), other.permits_.end(), alike);
}

std::string Ledger::Pack(TimePoint now) const {
  Packer packer;
  packer.Number(1);  // of this form
  incidents.Pack(packer, now);
  packer.Number(permits_.size());
  for (const Permit& p : permits_) {
    packer.Text(p.change);
    packer.Number(static_cast<std::uint64_t>(p.kind));
    for (const auto* names :
         {&p.footprint.halls, &p.footprint.zones, &p.footprint.generations, &p.footprint.instances}) {
      packer.Names(*names);
    }
    packer.Text(p.who);
    packer.Number(p.remedies.size());
    for (const std::uint64_t id : p.remedies) packer.Number(id);
    packer.Number(p.batch);
    packer.Number(static_cast<std::uint64_t>(p.state));
    packer.Text(p.why);
    packer.Number(p.over ? 1 : 0);
  }
  packer.Number(told_.size());
  for (const auto& [agent, number] : told_) {
    packer.Text(agent);
    packer.Number(number);
  }
  packer.Number(glass_.size());
  for (const Glass& g : glass_) {
    packer.Number(g.number);
    for (const auto* text : {&g.agent, &g.change, &g.who, &g.why}) packer.Text(*text);
  }
  return packer.bytes();
}

std::optional<Ledger> Ledger::Unpack(const std::string& bytes, TimePoint now) {
  Ledger ledger;
  if (bytes.empty()) return ledger;  // of a fleet that was founded just now
  Unpacker unpacker(bytes);
  if (unpacker.Number() != 1 || !ledger.incidents.Unpack(unpacker, now)) return std::nullopt;
  for (auto left = unpacker.Number(kMostPermits); left > 0 && unpacker.ok(); --left) {
    Permit p;
    p.change = unpacker.Text();
    p.kind = static_cast<ChangeKind>(unpacker.Number(7));
    for (auto* names :
         {&p.footprint.halls, &p.footprint.zones, &p.footprint.generations, &p.footprint.instances}) {
      *names = unpacker.Names();
    }
    p.who = unpacker.Text();
    for (auto ids = unpacker.Number(kMostIncidents); ids > 0 && unpacker.ok(); --ids)
      p.remedies.insert(unpacker.Number());
    p.batch = static_cast<std::uint32_t>(unpacker.Number(UINT32_MAX));
    p.state = static_cast<Word::State>(unpacker.Number(3));
    p.why = unpacker.Text();
    p.over = unpacker.Number(1) == 1;
    p.since = p.asked = now;
    ledger.permits_.push_back(p);
  }
  for (auto left = unpacker.Number(bytes.size()); left > 0 && unpacker.ok(); --left) {
    const std::string agent = unpacker.Text();
    ledger.told_[agent] = unpacker.Number();
  }
  for (auto left = unpacker.Number(kMostGlassKept); left > 0 && unpacker.ok(); --left) {
    Glass g;
    g.number = unpacker.Number();
    for (auto* text : {&g.agent, &g.change, &g.who, &g.why}) *text = unpacker.Text();
    ledger.glass_.push_back(g);
  }
  if (!unpacker.done()) return std::nullopt;
  return ledger;
}

}  // namespace mothrack::change_freeze
