#include "gossip/link.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace mothrack::gossip {
namespace {

using nlohmann::json;

TimePoint SteadyNow() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

constexpr std::array<const char*, 5> kStates = {"", "alive", "suspect", "dead", "left"};

const char* NameOf(State state) { return kStates[static_cast<std::size_t>(state) % kStates.size()]; }
const char* NameOf(Role role) { return role == Role::kAgent ? "agent" : "sidecar"; }

json ToJson(const MemberNews& news) {
  json told = json::object();
  told.emplace("name", news.life.name);
  told.emplace("role", NameOf(news.role));
  told.emplace("state", NameOf(news.state));
  told.emplace("zone", news.zone);
  told.emplace("address", news.address);
  told.emplace("incarnation", news.incarnation);
  return told;
}

json ToJson(const Counts& c) {
  return {{"sent", c.sent},
          {"heard", c.heard},
          {"over_rate", c.over_rate},
          {"probes", c.probes},
          {"probes_failed", c.probes_failed},
          {"indirect", c.indirect},
          {"refuted", c.refuted},
          {"suspected", c.suspected},
          {"died", c.died},
          {"returned", c.returned},
          {"news_taken", c.news_taken},
          {"news_old", c.news_old},
          {"values_taken", c.values_taken},
          {"values_old", c.values_old},
          {"lapsed", c.lapsed},
          {"not_taken", c.not_taken},
          {"digests", c.digests},
          {"records", c.records}};
}

}  // namespace

Link::Link(boost::asio::io_context& io, const Settings& settings, const std::string& name,
           runtime::Logger& log, Task::EachTurn each_turn)
    : wake_(io) {
  try {
    task_ = std::make_unique<Task>(settings, name, std::move(each_turn));
    const int wake = ::dup(task_->pictures().descriptor());  // the loop closes its own
    if (wake < 0) throw Refused("no descriptor for the loop");
    wake_.assign(wake);
    Await();
  } catch (const Refused& e) {
    task_.reset();
    refused_ = e.what();
    log.Line("peers: " + refused_ + "; goes on alone");
  }
}

std::optional<std::string> Link::local() const {
  if (!task_) return std::nullopt;
  return Text(task_->local());
}

void Link::Await() {
  wake_.async_wait(boost::asio::posix::descriptor_base::wait_read,
                   [this](const boost::system::error_code& error) {
                     if (error) return;
                     auto& pictures = task_->pictures();
                     pictures.Quiet();
                     // What came before the newest is of no use; the box's bound is that of the turns.
                     for (std::size_t i = 0; i < kMostPictures; ++i) {
                       auto picture = pictures.Take();
                       if (!picture) break;
                       latest_ = std::move(*picture);
                     }
                     Await();
                   });
}

std::optional<Duration> Link::age() const {
  if (!latest_) return std::nullopt;
  return std::max(SteadyNow() - latest_->made, Duration(0));
}

void Link::Say(ToTask message) {
  if (task_) task_->Say(std::move(message));
}

json Link::Report() const {
  json told = {{"task", !task_ ? "refused" : task_->deaths() > 0 ? "ended" : "runs"}, {"age_ms", nullptr}};
  if (!refused_.empty()) told["why"] = refused_;
  if (task_) told["dropped"] = task_->dropped();
  if (!latest_) return told;
  const Picture& picture = *latest_;
  told["age_ms"] = age()->count();
  told["self"] = ToJson(picture.self);
  told["health"] = picture.health;
  told["alive"] = picture.alive;
  told["known"] = picture.known;
  std::array<std::size_t, kStates.size()> by_state{};
  for (const MemberView& member : picture.members) ++by_state[static_cast<std::size_t>(member.news.state)];
  json states = json::object();
  for (std::size_t i = 1; i < kStates.size(); ++i) states[kStates[i]] = by_state[i];
  told["states"] = std::move(states);
  // Whoever looks, looks for those that are not well.
  std::vector<const MemberView*> order;
  for (const MemberView& member : picture.members) order.push_back(&member);
  std::stable_partition(order.begin(), order.end(),
                        [](const auto* m) { return m->news.state != State::kAlive; });
  json members = json::array();
  const TimePoint now = SteadyNow();
  for (std::size_t i = 0; i < order.size() && i < kMostMembers; ++i) {
    json member = ToJson(order[i]->news);
    member.emplace("age_ms", std::max(now - order[i]->since, Duration(0)).count());
    members.push_back(std::move(member));
  }
  told["members"] = std::move(members);
  told["more"] = order.size() - std::min(order.size(), kMostMembers);
  told["values"] = picture.values.size();
  json counts = ToJson(picture.counts);
  counts["unheard"] = picture.unheard;
  counts["unread"] = picture.unread;
  counts["repeated"] = picture.repeated;
  counts["unsent"] = picture.unsent;
  told["counts"] = std::move(counts);
  return told;
}

}  // namespace mothrack::gossip
