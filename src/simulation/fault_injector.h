// Breaks a rule on purpose: `mothrack-sim run --plant`.
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

// Which rule a run breaks on purpose, to see that its checker finds it.
enum class InjectedFault { kNone, kResend, kAfterDrain, kDroppedAnswer, kOverloadWarmingUp };

// A transport between dispatcher and SimulatedTransport that now and then does what a rule forbids, so that a
// run shows that the invariants find it. `find` gives a server that is draining, or one that is warming up.
class FaultInjector : public dispatch::Transport {
 public:
  FaultInjector(SimulatedTransport& inner, const Scenario& scenario, InjectedFault injected_fault,
                Random random, std::function<std::optional<std::size_t>(bool leaving)> find)
      : inner_(inner),
        scenario_(scenario),
        injected_fault_(injected_fault),
        random_(random),
        find_(std::move(find)) {}

  void Apply(const std::string& uid, const dispatch::Location& location) override {
    inner_.Apply(uid, location);
  }
  void Send(dispatch::ExchangeId id, const std::string& uid, std::shared_ptr<const dispatch::Message> message,
            runtime::Duration timeout, dispatch::ExchangeHooks hooks) override;
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
  const std::function<std::optional<std::size_t>(bool)> find_;
};

}  // namespace mothrack::simulation
