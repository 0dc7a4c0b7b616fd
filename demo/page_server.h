// A stand-in page server. It answers each request with its name, or, while unresponsive, accepts requests
// without responding.
#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <vector>

#include "standins/peers.h"

namespace mothrack::demo {

// An HTTP server on a free loopback port.
class PageServer {
 public:
  explicit PageServer(const std::string& name);
  ~PageServer() { ended_ = true; }

  // Requests that arrive while the server is unresponsive are answered once it no longer is.
  void SetUnresponsive(bool unresponsive) { unresponsive_ = unresponsive; }

  std::string address() const { return upstream_.address(); }
  std::vector<testing::Request> requests() const { return upstream_.requests(); }

 private:
  std::atomic<bool> unresponsive_{false};
  std::atomic<bool> ended_{false};
  testing::Upstream upstream_;
};

}  // namespace mothrack::demo
