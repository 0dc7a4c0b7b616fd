// Follows discovery: the list and watch loop, and what a list says.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "balancer/balancer.h"
#include "discovery/endpoint_staleness.h"
#include "dispatch/membership.h"
#include "dispatch/start_times.h"
#include "nlohmann/json.hpp"
#include "runtime/address.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace mothrack::discovery {

// One answer of discovery. Throws std::exception, naming what is wrong with the list. A list is a telling in
// order: where an id is in it twice, what is said of it last counts, and it is told once. When processes
// started is left to StartTimes.
dispatch::MembershipList ParseList(const nlohmann::json& body);

class Discovery {
 public:
  using OnList = std::function<void(dispatch::MembershipList)>;

  // Asks again by itself whatever becomes of a call, as the terms say; `seed` spreads that. `start_times`
  // must outlive it, and places each list before `on_list` gets it.
  Discovery(boost::asio::io_context& io, runtime::Endpoint endpoint, const PollPolicy& terms,
            std::uint64_t seed, dispatch::StartTimes& start_times, runtime::Logger& log, OnList on_list);
  ~Discovery();

  // The list of this version is held already: what is asked for is what changed since. Before the first
  // Ask().
  void Hold(std::uint64_t revision) { revision_ = revision; }
  // Asks for the list now and watches it from then on. Nothing to do where that is under way.
  void Ask();
  // Changes over to another address at once: asks there for the whole list. The old list stands until then.
  void MoveTo(runtime::Endpoint endpoint);

  struct Counts {
    std::uint64_t calls = 0, whole_asked = 0, failed = 0;  // whole_asked: among the calls
    std::uint64_t whole = 0, changes = 0, lines = 0;       // answers, and what was in them
  };
  const Counts& counts() const { return counts_; }

 private:
  class Call;

  void Start();
  void StartIn(runtime::Duration wait);
  // What the call that is out has not brought by then is a failure.
  void GiveUpIn(runtime::Duration patience);
  // Nobody listens to any call any more.
  void DropCalls();
  double Draw() { return std::uniform_real_distribution<>()(random_); }
  void Answered(Call& call, const std::string& body);
  void Failed(const Call& call, const boost::system::error_code& error);
  void Failed(const Call& call, const std::string& why, FailedCall::Kind kind = FailedCall::Kind::kFault);
  void Failed(const std::string& why, FailedCall::Kind kind);

  boost::asio::io_context& io_;
  runtime::Endpoint endpoint_;
  const PollPolicy terms_;
  dispatch::StartTimes& start_times_;
  runtime::Logger& log_;
  const OnList on_list_;
  boost::asio::steady_timer pause_;
  std::shared_ptr<Call> call_;
  std::shared_ptr<Call>
      overdue_;  // given up for a whole list, and heard all the same if it answers before others
  bool running_ = false;
  bool heard_ = false;      // there was an answer, and no failure since: the next call is a watch
  bool news_ = false;       // there was something in it
  bool watch_ = false;      // the call that is out is one
  std::uint64_t turn_ = 0;  // counts the calls, begun or planned: an older plan is void
  std::optional<std::uint64_t> revision_;  // absent: the whole list is needed
  runtime::TimePoint asked_;
  int failures_ = 0;  // in a row
  std::mt19937_64 random_;
  Counts counts_;
};

}  // namespace mothrack::discovery
