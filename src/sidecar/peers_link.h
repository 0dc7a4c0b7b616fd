// The sidecar's part in gossip (src/gossip/link.h), if the operator's file has [peers] and the program was
// built with MOTHRACK_PEERS. Otherwise nothing of it is linked, and there is no thread and no socket for it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "runtime/log.h"
#include "sidecar/operator_file.h"
#ifdef MOTHRACK_WITH_PEERS
#include "gossip/link.h"
#endif

namespace mothrack::sidecar {

#ifdef MOTHRACK_WITH_PEERS
// Used on the thread of the event loop only.
class PeersLink {
 public:
  // The number of descriptors that gossip always keeps open.
  static std::size_t FixedDescriptors(const OperatorFile& file) {
    return file.peers ? gossip::GossipClient::kFixedDescriptors : 0;
  }
  // Null if the file has no [peers]. Prints its listening address on standard error. Throws ConfigError.
  static std::unique_ptr<PeersLink> Create(boost::asio::io_context& io, const OperatorFile& file,
                                           const std::string& name, runtime::Logger& log);

  PeersLink(boost::asio::io_context& io, const OperatorFile& file, const std::string& name,
            runtime::Logger& log);

  // The file was reloaded: new keys apply at once, other changes from the next start on.
  void Apply(const OperatorFile& file, runtime::Logger& log);
  // Announces to the peers that this sidecar leaves.
  void Leave() { link_.Leave(); }
  nlohmann::json Report() const { return link_.Report(); }

 private:
  const std::string settings_;  // the section [peers] at the start, as text
  gossip::GossipClient link_;
};
#else
class PeersLink {
 public:
  static std::size_t FixedDescriptors(const OperatorFile&) { return 0; }
  static std::unique_ptr<PeersLink> Create(boost::asio::io_context&, const OperatorFile&, const std::string&,
                                           runtime::Logger&) {
    return nullptr;
  }
  void Apply(const OperatorFile&, runtime::Logger&) {}
  void Leave() {}
  nlohmann::json Report() const { return nullptr; }
};
#endif

}  // namespace mothrack::sidecar
