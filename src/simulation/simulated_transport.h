// The transport of a simulated sidecar: what src/http/transport.h does on sockets, in simulated time over
// simulated links. It reuses connections, opens new ones, and proves of each attempt no more than a socket
// would.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/exchange.h"
#include "simulation/server.h"
#include "simulation/simulation_event.h"
#include "simulation/simulator.h"

namespace mothrack::simulation {

// A request as the simulated clients make it; `work` in milliseconds of a core of speed 1.
struct ClientRequest : dispatch::Message {
  std::uint64_t request = 0;
  std::size_t cls = 0;
  double work = 0;
};

// What lies between sidecars and servers.
class SimulatedNetwork {
 public:
  virtual ~SimulatedNetwork() = default;
  // One way between a sidecar in this zone and a server; drawn anew by each call.
  virtual runtime::Duration Delay(std::size_t zone, std::size_t server) = 0;
  // False where packets are dropped silently.
  virtual bool Passes(std::size_t zone, std::size_t server) const = 0;
  virtual Server& At(std::size_t server) = 0;
  virtual void Record(SimulationEvent event) = 0;
  virtual std::uint64_t NextJob() = 0;
};

// Holds references to simulator, network and scenario, which must outlive it; callbacks that are still
// scheduled when it ends do nothing. One a start of a sidecar.
class SimulatedTransport : public dispatch::Transport {
 public:
  SimulatedTransport(Simulator& sim, SimulatedNetwork& network, const Scenario& scenario,
                     std::uint64_t sidecar, std::size_t zone, Random random)
      : sim_(sim),
        network_link_(network),
        scenario_(scenario),
        sidecar_(sidecar),
        zone_(zone),
        random_(random) {}

  void Apply(const std::string& uid, const dispatch::Location& location) override;
  void Send(dispatch::ExchangeId id, const std::string& uid, std::shared_ptr<const dispatch::Message> message,
            runtime::Duration timeout, dispatch::ExchangeHooks hooks) override;
  void Probe(dispatch::ExchangeId id, const std::string& uid, OnEnd on_end) override;
  void Cancel(dispatch::ExchangeId id) override;
  void Abandon(dispatch::ExchangeId id) override;
  void CloseIdle(const std::string& uid) override { At(uid).idle.clear(); }

  // The server's process has ended, and its sockets said so.
  void Broke(std::size_t server);

  std::uint64_t connects() const { return connects_; }
  // The name of a server in lists, and back.
  static std::string NameOf(std::size_t server) { return "s" + std::to_string(server); }
  static std::size_t NumberOf(const std::string& uid) { return std::stoul(uid.substr(1)); }

 private:
  struct Call {
    dispatch::ExchangeId id{};
    std::size_t server = 0;
    std::shared_ptr<const ClientRequest> client_request;
    dispatch::ExchangeHooks hooks;
    runtime::TimePoint began;
    std::uint64_t job = 0;
    bool connected = false;  // its request is being written, or was
    bool abandoned = false;
    bool ended = false;
  };
  using CallPtr = std::shared_ptr<Call>;
  struct Pool {
    dispatch::Location location;
    std::vector<runtime::TimePoint> idle;  // since when
  };

  Pool& At(const std::string& uid) { return pools_[uid]; }
  void Connect(const CallPtr& call);
  void Write(const CallPtr& call);
  void Arrive(const CallPtr& call);
  void Answer(const CallPtr& call, balancer::Outcome outcome);
  void End(const CallPtr& call, balancer::Outcome outcome, bool keeps);

  Simulator& sim_;
  SimulatedNetwork& network_link_;
  const Scenario& scenario_;
  const std::uint64_t sidecar_;
  const std::size_t zone_;
  Random random_;
  std::unordered_map<std::string, Pool> pools_;
  std::unordered_map<dispatch::ExchangeId, CallPtr> calls_;
  std::uint64_t connects_ = 0;
  // What is on its way must not reach a transport that has ended.
  std::shared_ptr<int> incarnation_ = std::make_shared<int>(0);
};

}  // namespace mothrack::simulation
