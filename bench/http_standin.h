// An HTTP/1.1 upstream on a free loopback port. It answers each request, which must have no body, with the
// same 200 response.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <thread>

namespace mothrack::bench {

// Serves on one thread of its own from construction to destruction.
class HttpStandin {
 public:
  static constexpr std::size_t kBodySize = 200;  // of each response, in bytes

  HttpStandin();
  ~HttpStandin();
  HttpStandin(const HttpStandin&) = delete;
  HttpStandin& operator=(const HttpStandin&) = delete;

  std::uint16_t port() const { return port_; }

 private:
  void Loop();
  void Watch(int fd);
  void Accept();
  void Serve(int fd);

  int listening_ = -1;
  int epoll_ = -1;
  std::uint16_t port_ = 0;
  std::map<int, std::string> unanswered_;  // bytes read from each connection and not answered yet
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace mothrack::bench
