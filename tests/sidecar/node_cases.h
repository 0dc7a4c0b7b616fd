// Shared by the tests that run the real program (a Node) between stand-ins: options and common checks.
#pragma once

#include <cstddef>
#include <future>
#include <string>

#include "standins/peers.h"

namespace mothrack::testing {

// Blocks the handler of a stand-in until the test opens it.
class Gate {
 public:
  void Open() { promise_.set_value(); }
  void Pass() const { opened_.wait(); }

 private:
  std::promise<void> promise_;
  std::shared_future<void> opened_ = promise_.get_future().share();
};

// The options of a node whose initial endpoint list is `known`.
inline Node::Options OptionsWith(const json& known, json settings = Settings()) {
  Node::Options options;
  options.known = known;
  options.settings = std::move(settings);
  return options;
}

// Returns the status that a client gets for an unsafe request if the only upstream is the one at `address`:
// 503 means that nothing ran, 502 and 504 that the request may have run, and 0 that there was no answer.
inline unsigned UnsafeStatus(const std::string& address, int timeout_ms, std::size_t body = 10) {
  Node node(OptionsWith(List({Target("u1", address)})));
  if (!node.Listening()) return 0;
  Client client(node.port());
  const auto response = client.Post("/submit/k", "a1", std::string(body, 'x'), timeout_ms);
  return response ? response->result_int() : 0;
}

// Returns how many bytes of a message a connection accepts if its peer has a small buffer and never reads.
inline std::size_t BytesAcceptedUnread() {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, tcp::v4());
  LimitReceiveBuffer(acceptor);
  acceptor.bind({boost::asio::ip::make_address_v4("127.0.0.1"), 0});
  acceptor.listen();
  tcp::socket socket(io);
  socket.connect(acceptor.local_endpoint());
  socket.non_blocking(true);
  boost::system::error_code error;
  const std::string bytes(65536, 'x');
  std::size_t written = 0;
  while (!error && written < bytes.size()) written += socket.write_some(boost::asio::buffer(bytes), error);
  return written;
}

// Sends requests until one is answered with this body; false if that does not happen before Eventually()
// times out.
inline bool BecomesServedBy(Node& node, const std::string& body) {
  static int number = 0;
  return Eventually([&] {
    Client client(node.port());
    const auto response = client.Get("/page/k", "w" + std::to_string(number++));
    return response && response->body() == body;
  });
}

}  // namespace mothrack::testing
