// The transport of a simulated sidecar: the counterpart of src/http/transport.h in simulated time and over
// simulated links. It reuses idle connections and opens new ones. About each attempt it reports only what a
// sidecar can learn from a socket.
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

// A request of a simulated client; `work` is in milliseconds of a core of speed 1.
struct ClientRequest : dispatch::Message {
  std::uint64_t request = 0;
  std::size_t cls = 0;
  double work = 0;
};

// The simulated network between sidecars and servers, as the transport uses it.
class SimulatedNetwork {
 public:
  virtual ~SimulatedNetwork() = default;
  // Draws a one-way delay between a sidecar in this zone and a server.
  virtual runtime::Duration Delay(std::size_t zone, std::size_t server) = 0;
  // False if packets between the zone and the server are dropped silently.
  virtual bool IsReachable(std::size_t zone, std::size_t server) const = 0;
  virtual Server& At(std::size_t server) = 0;
  // Records the event with the present time.
  virtual void Record(SimulationEvent event) = 0;
  // Returns a new job id (Server::Job), unique within the run.
  virtual std::uint64_t NextJob() = 0;
};

// Each start of a sidecar has its own transport. Holds references to simulator, network and scenario, which
// must outlive it. Callbacks that are still scheduled when it is destroyed do nothing.
class SimulatedTransport : public dispatch::Transport {
 public:
  SimulatedTransport(Simulator& sim, SimulatedNetwork& network, const Scenario& scenario,
                     std::uint64_t sidecar, std::size_t zone, Random random)
      : sim_(sim), network_(network), scenario_(scenario), sidecar_(sidecar), zone_(zone), random_(random) {}

  void Apply(const std::string& uid, const dispatch::Location& location) override;
  void Send(dispatch::ExchangeId id, const std::string& uid, std::shared_ptr<const dispatch::Message> message,
            const dispatch::AttemptTimeouts& timeouts, dispatch::ExchangeHooks hooks) override;
  void Probe(dispatch::ExchangeId id, const std::string& uid, OnEnd on_end) override;
  void Cancel(dispatch::ExchangeId id) override;
  void Abandon(dispatch::ExchangeId id) override;
  void CloseIdle(const std::string& uid) override { At(uid).idle.clear(); }

  // Called when the server's process has ended and the sidecar has seen its connections close.
  void OnServerStopped(std::size_t server);

  std::uint64_t connects() const { return connects_; }
  // Convert between the number of a server and its uid in endpoint lists.
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
    bool connected = false;  // the request is being written or was written
    bool abandoned = false;
    bool ended = false;
  };
  using CallPtr = std::shared_ptr<Call>;
  struct Pool {
    dispatch::Location location;
    std::vector<runtime::TimePoint> idle;  // for each idle connection, the time since when it is idle
  };

  Pool& At(const std::string& uid) { return pools_[uid]; }
  void Connect(const CallPtr& call);
  void Write(const CallPtr& call);
  void Arrive(const CallPtr& call);
  void Answer(const CallPtr& call, balancer::Outcome outcome);
  void End(const CallPtr& call, balancer::Outcome outcome, bool keep_connection);

  Simulator& sim_;
  SimulatedNetwork& network_;
  const Scenario& scenario_;
  const std::uint64_t sidecar_;
  const std::size_t zone_;
  Random random_;
  std::unordered_map<std::string, Pool> pools_;
  std::unordered_map<dispatch::ExchangeId, CallPtr> calls_;
  std::uint64_t connects_ = 0;
  // Scheduled callbacks hold a weak reference to this object and do nothing once the transport is destroyed.
  std::shared_ptr<int> incarnation_ = std::make_shared<int>(0);
};

}  // namespace mothrack::simulation
