#include "standins/relay_topology.h"

#include <stdexcept>

namespace mothrack::testing::relay {

Endpoint& Topology::AddEndpoint(const std::string& name, const std::vector<std::string>& groups,
                                std::uint16_t udp_port) {
  auto& endpoint = endpoints_[name];
  if (endpoint != nullptr) throw std::logic_error("the relay already has an endpoint " + name);
  endpoint = std::make_unique<Endpoint>(Endpoint{name, groups, udp_port, 0, -1, 0});
  return *endpoint;
}

Endpoint& Topology::EndpointOf(const std::string& name) {
  const auto it = endpoints_.find(name);
  if (it == endpoints_.end()) throw std::logic_error("the relay has no endpoint " + name);
  return *it->second;
}

std::uint16_t Topology::AdvertisedPort(const std::string& name) const {
  return endpoints_.at(name)->advertised;
}

Link& Topology::LinkOf(const Endpoint& from, const Endpoint& to) {
  auto& link = links_[{from.name, to.name}];
  if (link == nullptr) link = std::make_unique<Link>(from, to, seed_);
  return *link;
}

void Topology::ForEachLink(const std::string& from, const std::string& to,
                           const std::function<void(Link&)>& call) {
  bool any = false;
  for (const auto& [from_name, from_endpoint] : endpoints_) {
    for (const auto& [to_name, to_endpoint] : endpoints_) {
      if (from_name == to_name || !Selects(from, *from_endpoint) || !Selects(to, *to_endpoint)) continue;
      call(LinkOf(*from_endpoint, *to_endpoint));
      any = true;
    }
  }
  if (!any) throw std::logic_error("the relay has no link from " + from + " to " + to);
}

void Topology::Partition(const std::vector<std::vector<std::string>>& sides) {
  for (const auto& [name, endpoint] : endpoints_) {
    endpoint->side = 0;
    for (std::size_t i = 0; i < sides.size(); ++i) {
      for (const std::string& selector : sides[i]) {
        if (Selects(selector, *endpoint)) endpoint->side = i + 1;
      }
    }
  }
}

Counts Topology::CountsOf(const std::string& from, const std::string& to) const {
  Counts all;
  for (const auto& [names, link] : links_) {
    if (Selects(from, link->from()) && Selects(to, link->to())) all += link->counts;
  }
  return all;
}

std::size_t Topology::QueuedBytes() const {
  std::size_t bytes = 0;
  for (const auto& [names, link] : links_) bytes += link->queued_bytes;
  return bytes;
}

}  // namespace mothrack::testing::relay
