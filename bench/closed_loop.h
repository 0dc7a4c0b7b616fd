// A closed-loop load generator: a bounded number of requests is in flight, and each answer releases the next
// one. Runs on the caller's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mothrack::bench {

// A load: the maximum number of requests in flight is lanes * depth.
struct Load {
  int lanes = 4;  // number of connections
  int depth = 1;  // requests in flight on each connection
};

// The answers that arrived.
struct LoadResult {
  int answered = 0;
  std::vector<double> latencies_us;  // of each answer, in the order of arrival
};

// The protocol of a load: makes requests and recognizes answers. Requests and lanes are numbered from 0.
struct Protocol {
  int socket_type = 0;  // SOCK_STREAM or SOCK_DGRAM
  // Returns the bytes of the request `number` that is to be sent on `lane`.
  std::function<std::string(int number, int lane)> make_request;
  // Removes complete answers from the front of `buffer` and returns the numbers of their requests.
  std::function<std::vector<int>(std::string& buffer, int lane)> remove_answers;
};

// Returns a socket of `type` connected to the loopback `port`, with Nagle's algorithm off over TCP. The
// caller closes it. Throws std::runtime_error if there is no connection.
int ConnectToPort(int type, std::uint16_t port);

// Sends `requests` requests and returns when all are answered or when no answer came for 5 s.
// LoadResult::answered shows how many were lost. Throws std::runtime_error if there is no connection.
LoadResult RunClosedLoop(const Protocol& protocol, std::uint16_t port, const Load& load, int requests);

// Returns the value below which the share `share` (0 to 1) of `values` lies, or 0 if there are no values.
double Percentile(std::vector<double> values, double share);

}  // namespace mothrack::bench
