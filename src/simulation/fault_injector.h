// Breaks one of the rules (src/simulation/invariants.h) on purpose, to show that the rule checker detects it.
// `mothrack-sim run --plant` uses it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "dispatch/exchange.h"
#include "simulation/scenario.h"
#include "simulation/simulated_transport.h"
#include "simulation/simulator.h"

namespace mothrack::simulation {

// The faults that a run can inject.
// kResend: some unsafe attempts are sent twice. kAfterDrain: some attempts go to a draining server.
// kDroppedAnswer: some final answers are dropped. kOverloadWarmingUp: all attempts go to a server in slow
// start.
enum class InjectedFault { kNone, kResend, kAfterDrain, kDroppedAnswer, kOverloadWarmingUp };

// A transport between the dispatcher and SimulatedTransport that sometimes breaks a rule. `find_server(true)`
// returns a server that is draining, `find_server(false)` one in slow start. Holds references to `inner` and
// `scenario`, which must outlive it.
class FaultInjector : public dispatch::Transport {
 public:
  FaultInjector(SimulatedTransport& inner, const Scenario& scenario, InjectedFault injected_fault,
                Random random, std::function<std::optional<std::size_t>(bool leaving)> find_server)
      : inner_(inner),
        scenario_(scenario),
        injected_fault_(injected_fault),
        random_(random),
        find_server_(std::move(find_server)) {}

  void Apply(const std::string& uid, const dispatch::Location& location) override {
    inner_.Apply(uid, location);
  }
  void Send(dispatch::ExchangeId id, const std::string& uid, std::shared_ptr<const dispatch::Message> message,
            const dispatch::AttemptTimeouts& timeouts, dispatch::ExchangeHooks hooks) override;
  void Probe(dispatch::ExchangeId id, const std::string& uid, OnEnd on_end) override {
    inner_.Probe(id, uid, std::move(on_end));
  }
  void Cancel(dispatch::ExchangeId id) override { inner_.Cancel(id); }
  void Abandon(dispatch::ExchangeId id) override { inner_.Abandon(id); }
  void CloseIdle(const std::string& uid) override { inner_.CloseIdle(uid); }

 private:
  SimulatedTransport& inner_;
  const Scenario& scenario_;
  const InjectedFault injected_fault_;
  Random random_;
  const std::function<std::optional<std::size_t>(bool)> find_server_;
};

}  // namespace mothrack::simulation
