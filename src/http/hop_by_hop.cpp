#include "http/hop_by_hop.h"

#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

namespace mothrack::http {

void RemoveHopByHop(beast_http::fields& fields) {
  std::vector<std::string> connection_options;
  const auto range = fields.equal_range(beast_http::field::connection);
  for (auto it = range.first; it != range.second; ++it) {
    for (const auto& token : beast_http::token_list(it->value())) connection_options.emplace_back(token);
  }
  for (const auto& name : connection_options) fields.erase(name);
  for (const auto field :
       {beast_http::field::connection, beast_http::field::keep_alive, beast_http::field::proxy_connection,
        beast_http::field::te, beast_http::field::trailer, beast_http::field::transfer_encoding,
        beast_http::field::upgrade, beast_http::field::content_length, beast_http::field::expect}) {
    fields.erase(field);
  }
}

}  // namespace mothrack::http
