#include "change_freeze/freeze_model.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "change_freeze/desk.h"

namespace mothrack::change_freeze::testing {
namespace {

constexpr int kTrouble = 30'000;    // true ms for which faults come
constexpr int kScripted = 10'000;   // the same of a script
constexpr int kRecovery = 100'000;  // and by then all must work again
constexpr int kPermitBound = 2000;

// Thrown through the program's own code: the machine's process dies there.
struct Died {};

struct Machine {
  std::string name;
  std::string hall;
  double rate = 1;
  double offset = 0;
  bool up = true;
  int life = 0;  // of the process
  int back_at = 0;
  int stopped_until = 0;
  bool disk_full = false;
  int group = 0;  // of a partition
  std::optional<VoterRecord> file;
  std::optional<Seal> seal;
  std::vector<VoterRecord> copies;
  PermitRecord permits;
  std::unique_ptr<Desk> desk;
  std::unique_ptr<PermitBook> book;
  Voter::Role role = Voter::Role::kFollower;
  int next_ask = 0;
  // What the book may know, told apart from it: words of this process's life, and the highest term of any.
  std::vector<std::pair<Word, TimePoint>> words;
  Term highest = 0;
};

struct Change {
  std::string name;
  std::vector<ChangeKind> kinds;  // the last one is wanted
  Footprint footprint;
  std::set<std::uint64_t> remedies;
  std::uint32_t batch = 0;
  bool done = false;
  Machine* at = nullptr;  // where its question is
  int life = 0;
  Desk::Receipt receipt;
};

struct Freeze {
  std::uint64_t id = 0;
  Scope scope;
  Machine* at = nullptr;
  int life = 0;
  Desk::Receipt receipt;
  int acked = -1;  // true time
  bool closing = false;
  std::map<std::pair<std::string, ChangeKind>, std::int64_t> limit;  // the last batch that could begin
};

class World : public VoterStore {
 public:
  World(std::uint64_t seed, int voters, Planted planted, const Script* script)
      : random_(seed), planted_(planted), script_(script) {
    for (int i = 0; i < voters; ++i) names_.insert("a" + std::to_string(i));
    constexpr double kTroubles[] = {0.3, 1, 2, 4};
    trouble_ = script_ != nullptr ? 0 : kTroubles[Upto(3)];
    for (const std::string& name : names_) {
      auto& m = *machines_.emplace_back(std::make_unique<Machine>());
      m.name = name;
      m.hall = machines_.size() % 2 == 1 ? "bole" : "kality";
      m.rate = Chance(0.3) ? 1.05 : Chance(0.3) ? 0.92 : 0.99 + 0.02 * Upto(100) / 100;
      if (planted_ == Planted::kFastClocks) m.rate = machines_.size() % 2 == 1 ? 2 : 1;
      m.file.emplace();
      m.seal.emplace();
    }
    for (auto& m : machines_) Boot(*m);
    for (int i = 0; i < 4; ++i) {
      Change change;
      change.name = "c" + std::to_string(i);
      change.kinds = {static_cast<ChangeKind>(i == 0 ? 0 : Upto(6))};
      if (Chance(0.7)) change.footprint.halls = {Chance(0.5) ? "bole" : "kality"};
      if (Chance(0.5)) change.footprint.zones = {Chance(0.5) ? "z1" : "z2"};
      changes_.push_back(change);
    }
  }

  History Run() {
    while (history_.violation.empty() && now_ < kRecovery && !through_) {
      now_ += 20 + Upto(50);
      if (now_ >= (script_ != nullptr ? kScripted : kTrouble) && !calm_) Calm();
      if (!calm_ && script_ == nullptr) Fail();
      Deliver();
      for (auto& m : machines_) Live(*m);
      if (!calm_) {
        Operate();
        Tools();
      }
      if (calm_) Finish();
      Check();
    }
    if (history_.violation.empty() && !through_)
      Violation("no end, stage " + std::to_string(stage_) + ": " + why_ + Told());
    return history_;
  }

  bool Save(const VoterRecord& record) override {
    Machine& m = *saving_;
    Point();
    if (m.disk_full) {
      ++history_.saves_failed;
      if (Chance(0.3)) m.file = record;  // it is there, and its seal is not
      return false;
    }
    if (OthersSound(m) && Dies()) {
      ++history_.torn;
      m.file.reset();
      throw Died();
    }
    if (m.file) m.copies.push_back(*m.file);
    m.file = record;
    Point();
    m.seal = SealOf(record);
    Point();
    return true;
  }

 private:
  int Upto(int most) { return static_cast<int>(random_() % static_cast<unsigned>(most + 1)); }
  bool Chance(double p) { return static_cast<double>(random_() >> 11) * 0x1p-53 < p; }
  TimePoint Clock(const Machine& m) const {
    return TimePoint(Duration(static_cast<std::int64_t>(m.offset + m.rate * now_)));
  }
  void Violation(const std::string& what) {
    if (history_.violation.empty()) history_.violation = what + " at " + std::to_string(now_) + " ms";
  }

  std::string Told() const {
    std::string text;
    for (const auto& m : machines_) {
      text += "; " + m->name + (m->up ? " role " + std::to_string(static_cast<int>(m->role)) : " down") +
              " term " + std::to_string(m->file ? m->file->term : 0);
      if (m->file)
        text += " file " + std::to_string(m->file->life) + '.' + std::to_string(m->file->serial) +
                (m->file->old ? " old" : "");
      text += " seal " + std::to_string(m->seal->life) + '.' + std::to_string(m->seal->serial);
    }
    return text;
  }

  // ---- Faults ----

  bool Dies() {
    if (script_ == nullptr) return !calm_ && Chance(0.004 * trouble_);
    const int point = history_.points++;
    return point == script_->dies_at || point == script_->then_at;
  }
  void Point() {
    if (Dies()) throw Died();
  }

  void Fail() {
    for (auto& m : machines_) {
      if (m->up && Chance(0.0004 * trouble_)) Kill(*m);
      if (m->up && now_ >= m->stopped_until && Chance(0.0004 * trouble_)) Stop(*m);
      // The one that leads, for longer than its lease.
      if (m->up && now_ >= m->stopped_until && m->role == Voter::Role::kCoordinator &&
          Chance(0.002 * trouble_))
        Stop(*m);
      if (Chance(m->disk_full ? 0.01 : 0.0005 * trouble_)) m->disk_full = !m->disk_full;
    }
    if (Chance(0.0015 * trouble_)) Trap();
    while (!later_.empty() && later_.begin()->first <= now_) {
      later_.begin()->second();
      later_.erase(later_.begin());
    }
    if (Chance(0.0003 * trouble_)) {
      for (auto& m : machines_) m->disk_full = m->disk_full || Chance(0.6);
    }
    if (Chance(0.002 * trouble_)) {
      for (auto& m : machines_) m->group = Chance(0.6) ? 0 : Upto(2);
    } else if (Chance(0.01)) {
      for (auto& m : machines_) m->group = 0;
    }
  }

  // What harms only together. Half of the rest hears nothing while the coordinator and the others go on;
  // those come back with what they had before, as the coordinator falls silent. Or: it is cut off, and all
  // others start anew at once.
  void Trap() {
    Machine* leader = Leader();
    if (leader == nullptr) return;
    std::vector<Machine*> rest;
    for (auto& m : machines_) {
      if (m.get() != leader && m->up) rest.push_back(m.get());
    }
    if (rest.size() + 1 < machines_.size()) return;
    std::shuffle(rest.begin(), rest.end(), random_);
    const auto anew = [this](Machine& m, bool old) {
      if (!m.up) return;
      Kill(m, old);
      m.back_at = now_ + 50;
    };
    if (Chance(0.5)) {
      leader->group = 1;
      for (Machine* m : rest) anew(*m, false);
      return;
    }
    const std::vector<Machine*> deaf(rest.begin(),
                                     rest.begin() + static_cast<std::ptrdiff_t>(rest.size() / 2));
    rest.erase(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(deaf.size()));
    for (Machine* m : deaf) m->group = 1;
    later_.emplace(now_ + 600 + Upto(1500), [this, leader, deaf, rest, anew] {
      const bool sound = OthersSound(*rest.front());
      for (Machine* m : rest) anew(*m, sound);
      for (Machine* m : deaf) m->group = 0;
      if (leader->up) Stop(*leader);
    });
  }

  void Stop(Machine& m) {
    ++history_.stops;
    if (m.role == Voter::Role::kCoordinator) ++history_.coordinators_stopped;
    m.stopped_until = now_ + 500 + Upto(8000);
  }

  bool OthersSound(const Machine& m) const {
    return std::all_of(machines_.begin(), machines_.end(), [&](const auto& o) {
      if (o.get() == &m) return true;
      if (!o->file || o->file->old || SealOf(*o->file) < *o->seal || (o->up && o->role == Voter::Role::kLost))
        return false;
      // One that asked to join, and whose present file was put back then, has yet to learn that it must.
      return std::all_of(machines_.begin(), machines_.end(), [&](const auto& p) {
        return !p->file || !p->file->lives.contains(o->name) || p->file->lives.at(o->name) <= o->file->life;
      });
    });
  }

  void Kill(Machine& m, bool old_copy = false) {
    ++history_.deaths;
    m.up = false;
    m.desk.reset();
    m.book.reset();
    m.back_at = now_ + (script_ != nullptr ? 1000 : Upto(6000));
    // With nothing amiss with the others' files: of three, two that are lost wait for an operator
    // (docs/design/freeze.md).
    const bool others = OthersSound(m);
    const bool old = script_ != nullptr ? script_->old_copy : Chance(0.3);
    if (!(old && others) && !old_copy) return;
    if (m.copies.size() < 2) return;
    ++history_.old_copies;
    m.file = m.copies[m.copies.size() - 2 -
                      (script_ != nullptr ? 0 : Upto(static_cast<int>(m.copies.size()) - 2))];
  }

  void Boot(Machine& m) {
    m.up = true;
    ++m.life;
    m.offset = Upto(100'000);  // a steady clock of a machine that was started anew is another one
    VoterSettings settings;
    settings.self = m.name;
    settings.voters = names_;
    auto trust = Voter::TrustOf(m.file, m.seal, false);
    if (planted_ == Planted::kOldCopyTrusted) trust = Voter::Trust::kSound;
    const Duration before = planted_ == Planted::kNoQuietStart ? settings.lease * 2 : Duration(0);
    m.desk =
        std::make_unique<Desk>(Voter(settings, m.file.value_or(VoterRecord()), trust, Clock(m) - before));
    m.book = std::make_unique<PermitBook>(m.name, m.permits);
    m.words.clear();
    m.role = m.desk->voter().role();
  }

  void Calm() {
    calm_ = true;
    since_ = now_;
    for (auto& m : machines_) {
      m->disk_full = false;
      m->group = 0;
      m->stopped_until = std::min(m->stopped_until, now_);
      if (!m->up) m->back_at = now_;
    }
  }

  // ---- Messages ----

  void Send(const Machine& from, const Machine& to, std::function<void()> arrive) {
    if (from.group != to.group) return;
    if (!calm_ && Chance(0.05 * trouble_)) return;
    for (int copies = !calm_ && Chance(0.04 * trouble_) ? 2 : 1; copies > 0; --copies) {
      int delay = 1 + Upto(120);
      if (!calm_ && Chance(0.04 * trouble_)) delay = Upto(12'000);  // from long ago
      messages_.emplace(now_ + delay, std::pair(const_cast<Machine*>(&to), arrive));
    }
  }

  void Deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      auto [to, arrive] = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      if (!to->up) continue;
      if (now_ < to->stopped_until) {
        messages_.emplace(to->stopped_until, std::pair(to, arrive));
      } else {
        arrive();
      }
    }
  }

  void Act(Machine& m, const std::function<void(Desk&, std::vector<VoterMessage>&)>& act) {
    if (!m.up) return;
    std::vector<VoterMessage> out;
    saving_ = &m;
    const auto send = [&](std::vector<VoterMessage>& messages) {
      for (VoterMessage& message : messages) {
        Machine& to = *machines_[static_cast<std::size_t>(message.to[1] - '0')];
        Send(m, to, [this, &to, message] {
          Act(to, [&](Desk& desk, auto& more) { desk.Heard(message, Clock(to), more); });
        });
      }
    };
    try {
      if (planted_ == Planted::kToldBeforeDurable || planted_ == Planted::kRefusalIgnored) {
        Desk copy = *m.desk;
        std::vector<VoterMessage> early;
        act(copy, early);
        if (planted_ == Planted::kToldBeforeDurable) send(early);
        const bool saved = copy.record() == m.desk->record() || Save(copy.record());
        if (saved || planted_ == Planted::kRefusalIgnored) *m.desk = copy;
        if (planted_ == Planted::kRefusalIgnored) send(early);
      } else {
        Decide(*m.desk, *this, Clock(m), act, out);
        send(out);
      }
    } catch (const Died&) {
      return Kill(m);
    }
    const Voter& voter = m.desk->voter();
    if (m.role == Voter::Role::kLost && voter.role() == Voter::Role::kFollower) ++history_.joined;
    if (voter.role() != m.role && voter.role() == Voter::Role::kTaking) {
      if (!winners_.emplace(voter.term(), m.name).second)
        Violation("two won term " + std::to_string(voter.term()));
    }
    if (voter.role() != m.role && voter.role() == Voter::Role::kCoordinator) Won(m);
    m.role = voter.role();
    Committed(m);
  }

  // ---- The register ----

  // Whoever wins has read what was committed, or what was written after it.
  void Won(const Machine& m) {
    ++history_.elections;
    const auto at = written_.find(m.desk->record().value);
    if ((at == written_.end() ? Stamp() : at->second) < committed_) {
      Violation(m.name + " won term " + std::to_string(m.desk->voter().term()) +
                " without what was committed");
    }
  }

  void Committed(const Machine& m) {
    const Voter& voter = m.desk->voter();
    if (voter.role() != Voter::Role::kTaking && voter.role() != Voter::Role::kCoordinator) return;
    Stamp& at = written_[m.desk->record().value];
    at = std::max(at, m.desk->record().stamp);
    if (voter.committed() > 0) committed_ = std::max(committed_, {voter.term(), voter.committed()});
  }

  // ---- A machine ----

  bool Leads(const Machine& m) const {
    if (!m.up) return false;
    if (planted_ == Planted::kLeaseIgnored)
      return m.role == Voter::Role::kCoordinator && m.desk->state() != nullptr;
    return m.desk->Leads(Clock(m));
  }

  void Live(Machine& m) {
    if (!m.up && now_ >= m.back_at) Boot(m);
    if (!m.up || now_ < m.stopped_until) return;
    Act(m, [&](Desk& desk, auto& out) { desk.Turn(Clock(m), out); });
    if (!m.up || now_ < m.next_ask) return;
    m.next_ask = now_ + 400;
    for (const Change& change : changes_) {
      for (auto& other : machines_) Question(m, *other, change.name);
    }
    if (!m.permits.untold.empty()) Tell(m);
  }

  void Question(Machine& m, Machine& other, const std::string& change) {
    const auto asked = Clock(m);
    Send(m, other, [this, &m, &other, change, asked, life = m.life] {
      std::optional<Word> word = other.desk->Confirm(change, Clock(other));
      if (!word && planted_ == Planted::kLeaseIgnored && Leads(other)) {
        Ledger ledger = *other.desk->state();
        word = ledger.Confirm(change, Clock(other));
        word->term = other.desk->voter().term();
        word->version = other.desk->voter().committed();
      }
      Send(other, m, [this, &m, word, asked, life, why = other.desk->Leaderless(Clock(other))] {
        if (m.life != life) return;
        word ? Hear(m, *word, planted_ == Planted::kCountedFromHearing ? Clock(m) : asked)
             : m.book->Leaderless(why);
      });
    });
  }

  bool SavePermits(Machine& m, const PermitBook& book) {
    try {
      Point();
      if (m.disk_full) return ++history_.saves_failed, false;
      m.permits = book.record();
      Point();
    } catch (const Died&) {
      Kill(m);
      return false;
    }
    *m.book = book;
    return true;
  }

  void Hear(Machine& m, const Word& word, TimePoint asked) {
    PermitBook copy = *m.book;
    if (!copy.Heard(word, asked)) {
      ++history_.late_words;
      if (planted_ == Planted::kOldWordTaken) *m.book = PermitBook(m.name, {}), m.book->Heard(word, asked);
      return;
    }
    if (copy.record() == m.book->record()) {
      *m.book = copy;
    } else if (!SavePermits(m, copy)) {
      return;
    }
    m.highest = std::max(m.highest, word.term);
    m.words.emplace_back(word, asked);
    if (m.words.size() > 60) m.words.erase(m.words.begin());
  }

  void Tell(Machine& m) {
    for (auto& other : machines_) {
      Send(m, *other, [this, &m, &other = *other, glass = m.permits.untold, life = m.life] {
        if (!Leads(other)) return;
        const std::uint64_t told = other.desk->state()->GlassOf(m.name);
        if (told < glass.back().number) {
          Act(other, [&](Desk& desk, auto& out) {
            desk.Change(
                Clock(other), [&](Ledger& ledger) { return ledger.Broken(glass), std::string(); }, out);
          });
        }
        if (told == 0) return;
        Send(other, m, [this, &m, told, life] {
          if (m.life != life) return;
          PermitBook copy = *m.book;
          copy.Told(told);
          if (!(copy.record() == m.book->record())) SavePermits(m, copy);
        });
      });
    }
  }

  // ---- Operators ----

  Machine* Leader() {
    for (auto& m : machines_) {
      if (now_ >= m->stopped_until && Leads(*m)) return m.get();
    }
    return nullptr;
  }

  void Operate() {
    Machine* leader = Leader();
    if (leader != nullptr && freezes_.size() < 12 && Chance(script_ != nullptr ? 0.01 : 0.015)) Open(*leader);
    for (Freeze& freeze : freezes_) Look(freeze);
    if (leader != nullptr && !freezes_.empty() && Chance(0.01)) {
      Freeze& freeze = freezes_[static_cast<std::size_t>(Upto(static_cast<int>(freezes_.size()) - 1))];
      if (freeze.acked >= 0) Close(*leader, freeze);
    }
    if (leader != nullptr && Chance(0.02)) {
      const Evidence evidence{IncidentKind::kRefusals,
                              {Scope::Kind::kHall, {Chance(0.5) ? "bole" : "kality"}},
                              Upto(100) / 200.0,
                              kRefusalsFor};
      Act(*leader, [&](Desk& desk, auto& out) { desk.Hear(evidence, Clock(*leader), out); });
    }
    Machine& m = *machines_[static_cast<std::size_t>(Upto(static_cast<int>(machines_.size()) - 1))];
    if (m.up && now_ >= m.stopped_until && Chance(0.001)) {
      PermitBook copy = *m.book;
      if (copy.BreakGlass("c9", "ann", false, "a test", Clock(m)).empty() && SavePermits(m, copy))
        ++history_.broken_glass;
    }
  }

  void Open(Machine& leader) {
    Freeze freeze;
    if (Chance(0.7)) freeze.scope = {Scope::Kind::kHall, {Chance(0.5) ? "bole" : "kality"}};
    freeze.at = &leader;
    freeze.life = leader.life;
    Act(leader, [&](Desk& desk, auto& out) {
      freeze.receipt = desk.Change(
          Clock(leader),
          [&](Ledger& ledger) {
            std::string why;
            freeze.id =
                ledger.incidents.Open(freeze.scope, "a test", "ann", Duration(20'000), Clock(leader), why);
            return why;
          },
          out);
    });
    if (leader.life == freeze.life && freeze.receipt.version > 0) freezes_.push_back(freeze);
  }

  // Has it been decided? Then it counts from now on.
  void Look(Freeze& freeze) {
    Machine& m = *freeze.at;
    if (freeze.acked >= 0 || !m.up || m.life != freeze.life || now_ < m.stopped_until) return;
    if (!m.desk->Decided(freeze.receipt)) return;
    ++history_.freezes;
    freeze.acked = now_;
    for (const Permit& permit : m.desk->state()->permits()) {
      freeze.limit[{permit.change, permit.kind}] = permit.batch;
      if (permit.state == Word::State::kPaused) ++history_.paused;
      if (permit.state == Word::State::kBlocked) ++history_.blocked;
    }
  }

  void Close(Machine& leader, Freeze& freeze) {
    for (Freeze& other : freezes_) other.closing = other.closing || other.id == freeze.id;
    Act(leader, [&](Desk& desk, auto& out) {
      desk.Change(
          Clock(leader),
          [&](Ledger& ledger) { return ledger.incidents.Close(freeze.id, Clock(leader)), std::string(); },
          out);
    });
  }

  // ---- Tools ----

  void Tools() {
    Machine* leader = Leader();
    for (Change& change : changes_) {
      if (leader == nullptr || change.done || !Chance(0.05)) continue;
      if (change.at != nullptr && change.at->up && change.at->life == change.life &&
          change.at->desk->Decided(change.receipt)) {
        change.at = nullptr;
        ++change.batch;
      }
      if (Chance(0.02)) {
        Act(*leader, [&](Desk& desk, auto& out) {
          desk.Change(
              Clock(*leader), [&](Ledger& l) { return l.Done(change.name, Clock(*leader)), std::string(); },
              out);
        });
        continue;
      }
      if (Chance(0.05) && change.kinds.back() != ChangeKind::kUndo) {
        change.kinds.push_back(ChangeKind::kUndo);
        change.batch = 0;
        for (const Freeze& freeze : freezes_) change.remedies.insert(freeze.id);
      }
      Ask(*leader, change);
    }
  }

  void Ask(Machine& leader, Change& change) {
    change.at = &leader;
    change.life = leader.life;
    Act(leader, [&](Desk& desk, auto& out) {
      change.receipt = desk.Change(
          Clock(leader),
          [&](Ledger& ledger) {
            return ledger.Ask(
                {change.name, change.kinds.back(), change.footprint, "bob", change.remedies, change.batch},
                Clock(leader));
          },
          out);
      if (!change.receipt.why.empty()) why_ = change.receipt.why;
    });
  }

  // ---- The end ----

  // With no further fault: an incident and a change come through, and nobody acts against the last freeze.
  void Finish() {
    Machine* leader = Leader();
    if (leader == nullptr) {
      why_ = "nobody leads";
      return;
    }
    const Ledger& state = *leader->desk->state();
    Change& last = changes_.back();
    if (stage_ == 0) {
      for (Freeze& freeze : freezes_) freeze.closing = true;
      for (Change& change : changes_) change.done = true;
      // What was on its way may still come in.
      if (!state.incidents.all().empty() || !state.permits().empty()) since_ = now_;
      if (now_ > since_ + 1500) {
        stage_ = 1;
        last = {};
        last.name = "last";
        last.kinds = {ChangeKind::kRestart};
        last.footprint.halls = {"bole"};
      } else {
        Act(*leader, [&](Desk& desk, auto& out) {
          desk.Change(
              Clock(*leader),
              [&](Ledger& ledger) {
                for (const Incident& i : std::vector<Incident>(state.incidents.all())) {
                  if (i.state != Incident::State::kMuted) ledger.incidents.Close(i.id, Clock(*leader));
                }
                for (const Change& change : changes_) ledger.Done(change.name, Clock(*leader));
                return std::string();
              },
              out);
        });
        why_ = "what is left does not go";
      }
    } else if (stage_ == 1) {
      const auto& permits = state.permits();
      if (!state.incidents.all().empty() || (!permits.empty() && permits.front().change != "last")) {
        stage_ = 0;  // of before the calm, read by a new coordinator
        since_ = now_;
        return;
      }
      Ask(*leader, last);
      const bool all = std::all_of(machines_.begin(), machines_.end(), [&](const auto& m) {
        return m->up &&
               m->book->May("last", ChangeKind::kRestart, 0, Clock(*m)).verdict ==
                   PermitBook::Verdict::kAllowed &&
               m->permits.untold.empty() && m->role != Voter::Role::kLost;
      });
      if (all) stage_ = 2;
    } else {
      if (stage_ == 2) {
        Open(*leader);
        since_ = now_;
      }
      if (freezes_.empty()) return;
      Look(freezes_.back());
      stage_ = 3;
      if (freezes_.back().closing || (freezes_.back().acked < 0 && now_ > since_ + 2000)) stage_ = 2;
      through_ = freezes_.back().acked >= 0 && !freezes_.back().closing &&
                 now_ > freezes_.back().acked + kPermitBound + 200;
    }
  }

  // ---- Rules ----

  bool InForce(const Machine& m, const Change& change, ChangeKind kind, std::uint32_t batch) const {
    return m.up && m.book->May(change.name, kind, batch, Clock(m)).verdict == PermitBook::Verdict::kAllowed;
  }

  void Check() {
    const Machine* leader = nullptr;
    for (const auto& m : machines_) {
      if (!Leads(*m)) continue;
      if (leader != nullptr) Violation(leader->name + " and " + m->name + " both lead");
      leader = m.get();
      for (const Freeze& freeze : freezes_) {
        if (freeze.acked < 0 || freeze.closing) continue;
        const Incident* incident = m->desk->state()->incidents.Find(freeze.id);
        if (incident == nullptr || !incident->Freezes())
          Violation("incident " + std::to_string(freeze.id) + " is lost");
      }
    }
    std::vector<std::pair<const Change*, ChangeKind>> force;
    for (const auto& m : machines_) {
      for (const Change& change : changes_) {
        for (const ChangeKind kind : change.kinds) {
          if (!InForce(*m, change, kind, 0)) continue;
          force.emplace_back(&change, kind);
          CheckWord(*m, change, kind);
          for (const Freeze& freeze : freezes_) CheckFreeze(*m, change, kind, freeze);
        }
      }
    }
    for (const auto& [a, ak] : force) {
      for (const auto& [b, bk] : force) {
        if (a == b && ak == bk) continue;
        if (a == b || Exclude(ak, a->footprint, bk, b->footprint))
          Violation(a->name + " and " + b->name + " are both in force");
      }
    }
  }

  // There is a word of the highest term that this agent ever heard, and its question is not too old.
  void CheckWord(const Machine& m, const Change& change, ChangeKind kind) {
    for (const auto& [word, asked] : m.words) {
      if (word.term == m.highest && word.change == change.name && word.kind == kind &&
          word.state != Word::State::kNone && word.state != Word::State::kBlocked &&
          Clock(m) < asked + Shortened(kPermitTime)) {
        return;
      }
    }
    Violation(m.name + " acts for " + change.name + " by an older word");
  }

  void CheckFreeze(const Machine& m, const Change& change, ChangeKind kind, const Freeze& freeze) {
    if (freeze.acked < 0 || freeze.closing) return;
    const Effect effect = EffectOf(kind, RelationOf(change.footprint, freeze.scope), IncidentKind::kOperator);
    if (effect == Effect::kAllowed || (effect == Effect::kRemedy && change.remedies.contains(freeze.id)))
      return;
    const auto limit = freeze.limit.find({change.name, kind});
    const std::int64_t last = limit == freeze.limit.end() ? -1 : limit->second;
    if (InForce(m, change, kind, static_cast<std::uint32_t>(last + 1))) {
      Violation(change.name + " begins batch " + std::to_string(last + 1) + " at " + m.name +
                " in incident " + std::to_string(freeze.id));
    }
    if (effect == Effect::kBlocked && now_ > freeze.acked + kPermitBound) {
      Violation(change.name + " goes on at " + m.name + " in incident " + std::to_string(freeze.id));
    }
  }

  std::mt19937_64 random_;
  const Planted planted_;
  const Script* script_;
  double trouble_ = 1;
  int now_ = 0;
  bool calm_ = false;
  bool through_ = false;
  int stage_ = 0;
  std::string why_;
  std::set<std::string> names_;
  std::vector<std::unique_ptr<Machine>> machines_;
  Machine* saving_ = nullptr;
  std::multimap<int, std::pair<Machine*, std::function<void()>>> messages_;
  std::multimap<int, std::function<void()>> later_;
  std::vector<Change> changes_;
  std::vector<Freeze> freezes_;
  int since_ = 0;  // of what Finish() waits for
  std::map<Term, std::string> winners_;
  std::map<std::string, Stamp> written_;
  Stamp committed_;
  History history_;
};

}  // namespace

History Play(std::uint64_t seed, int voters, Planted planted) {
  return World(seed, voters, planted, nullptr).Run();
}
History Play(std::uint64_t seed, int voters, const Script& script) {
  return World(seed, voters, Planted::kNothing, &script).Run();
}

}  // namespace mothrack::change_freeze::testing
