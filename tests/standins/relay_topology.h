// The endpoints of a FaultyRelay and the links between them: by name, by selector, and the sides of a
// partition. Errors: std::logic_error for an endpoint or link that does not exist. Not thread-safe:
// FaultyRelay holds its mutex around every call.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "standins/relay_link.h"

namespace mothrack::testing::relay {

class Topology {
 public:
  // Links by the names of their two endpoints. A link is created when it is first needed, and never removed.
  using Links = std::map<std::pair<std::string, std::string>, std::unique_ptr<Link>>;

  explicit Topology(std::uint64_t seed) : seed_(seed) {}

  // References to endpoints and links stay valid as long as the topology exists.
  Endpoint& AddEndpoint(const std::string& name, const std::vector<std::string>& groups,
                        std::uint16_t udp_port);
  Endpoint& EndpointOf(const std::string& name);
  std::uint16_t AdvertisedPort(const std::string& name) const;
  Link& LinkOf(const Endpoint& from, const Endpoint& to);
  const Links& links() const { return links_; }

  // Calls `call` for the link of every pair that the two selectors match. Throws if they match none, because
  // a fault that applies to no link would let every test pass.
  void ForEachLink(const std::string& from, const std::string& to, const std::function<void(Link&)>& call);
  // Endpoints on no side form one more side.
  void Partition(const std::vector<std::vector<std::string>>& sides);

  // The sum of the counts of the links that the two selectors match.
  Counts CountsOf(const std::string& from, const std::string& to) const;
  std::size_t QueuedBytes() const;

 private:
  const std::uint64_t seed_;
  std::map<std::string, std::unique_ptr<Endpoint>> endpoints_;
  Links links_;
};

}  // namespace mothrack::testing::relay
