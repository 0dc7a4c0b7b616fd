// A stand-in page server that answers with its name, or accepts requests and does not respond.
#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <vector>

#include "standins/peers.h"

namespace mothrack::demo {

class PageServer {
 public:
  explicit PageServer(const std::string& name);
  ~PageServer() { ended_ = true; }

  // Requests that arrive while unresponsive are answered when it no longer is.
  void SetUnresponsive(bool unresponsive) { unresponsive_ = unresponsive; }

  std::string address() const { return upstream_.address(); }
  std::vector<testing::Request> requests() const { return upstream_.requests(); }

 private:
  std::atomic<bool> unresponsive_{false};
  std::atomic<bool> ended_{false};
  testing::Upstream upstream_;
};

}  // namespace mothrack::demo
