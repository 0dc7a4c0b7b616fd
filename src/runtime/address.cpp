#include "runtime/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace mothrack::runtime {

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end) return std::nullopt;
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  boost::system::error_code address_error;
  const auto address = boost::asio::ip::make_address(host, address_error);
  if (address_error) return std::nullopt;
  return Endpoint(address, port);
}

}  // namespace mothrack::runtime
