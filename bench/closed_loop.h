// A closed-loop load generator: a bounded number of requests is in flight, and each answer releases the next
// one. Runs on the caller's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mothrack::bench {

struct Load {
  int lanes = 4;  // connections
  int depth = 1;  // requests in flight on each
};

struct LoadResult {
  int answered = 0;
  std::vector<double> latencies_us;  // of each answer, in the order of arrival
};

// What the generator needs to know about a protocol. Requests and lanes are numbered from 0.
struct Protocol {
  int socket_type = 0;  // SOCK_STREAM or SOCK_DGRAM
  // The request `number`, as it is sent on `lane`.
  std::function<std::string(int number, int lane)> make_request;
  // Removes complete answers from the front of `buffer` and returns the numbers of their requests.
  std::function<std::vector<int>(std::string& buffer, int lane)> take_answers;
};

// A socket of `type` connected to the loopback `port`, without Nagle's algorithm over TCP. The caller closes
// it. Throws std::runtime_error if there is no connection.
int ConnectToPort(int type, std::uint16_t port);

// Sends `requests` requests and returns when all are answered or when no answer came for 5 s.
// `answered` of the result shows how many were lost. Throws std::runtime_error if there is no connection.
LoadResult RunClosedLoop(const Protocol& protocol, std::uint16_t port, const Load& load, int requests);

// The value below which `share` (0 to 1) of `values` lie; 0 if there are none.
double Percentile(std::vector<double> values, double share);

}  // namespace mothrack::bench
