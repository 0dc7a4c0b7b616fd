#include "simulation/fault_injector.h"

namespace mothrack::simulation {
namespace {

constexpr double kFaultProbability = 0.02;        // for each attempt
constexpr std::uint64_t kResentBit = 1ULL << 62;  // the dispatcher's exchange ids are smaller

}  // namespace

void FaultInjector::Send(dispatch::ExchangeId id, const std::string& uid,
                         std::shared_ptr<const dispatch::Message> message,
                         const dispatch::AttemptTimeouts& timeouts, dispatch::ExchangeHooks hooks) {
  const auto& client_request = static_cast<const ClientRequest&>(*message);
  const bool unsafe = scenario_.classes[client_request.cls].effect == balancer::Effect::kUnsafe;
  std::string target_uid = uid;
  if (injected_fault_ == InjectedFault::kResend && unsafe && random_.Chance(kFaultProbability)) {
    inner_.Send(dispatch::ExchangeId{static_cast<std::uint64_t>(id) | kResentBit}, uid, message, timeouts,
                {});
  }
  if (injected_fault_ == InjectedFault::kAfterDrain && random_.Chance(kFaultProbability)) {
    if (const auto leaving = find_server_(true)) target_uid = SimulatedTransport::NameOf(*leaving);
  }
  if (injected_fault_ == InjectedFault::kOverloadWarmingUp) {
    if (const auto warming_up = find_server_(false)) target_uid = SimulatedTransport::NameOf(*warming_up);
  }
  inner_.Send(id, target_uid, std::move(message), timeouts, std::move(hooks));
}

}  // namespace mothrack::simulation
