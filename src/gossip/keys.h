// The cluster's keys, from a file that nobody else may read. One key a line, 32 random bytes as hex or
// base64; datagrams are sealed with the first, and both are accepted. Rotation without a pause: the new key
// second on all members, then first on all, then the old one removed from all (docs/design/gossip_wire.md).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace mothrack::gossip {

constexpr std::size_t kKeySize = 32;  // of a key of BLAKE2b
constexpr std::size_t kMaxRingKeys = 2;

// A fault of the key file: its place, and in `cause` what is wrong and the mend; never the key. what() has
// both.
class KeyFileError : public std::runtime_error {
 public:
  // `line`: from 1; nothing where the file as a whole is at fault.
  KeyFileError(const std::string& path, std::optional<std::size_t> line, const std::string& cause);
  const std::optional<std::size_t>& line() const { return line_; }

 private:
  std::optional<std::size_t> line_;
};

// Bytes in memory of their own: kept out of swap and core files where the system allows it, zeroed when given
// back.
class Secret {
 public:
  Secret();
  const std::uint8_t* data() const { return bytes_.get(); }
  std::uint8_t* data() { return bytes_.get(); }

 private:
  struct Free {
    void operator()(std::uint8_t* bytes) const;
  };
  std::unique_ptr<std::uint8_t, Free> bytes_;
};

// What is made of one key of the file: a name for it that tells nothing of it, and the bytes that seal.
struct Key {
  using Id = std::array<std::uint8_t, 4>;
  Id id{};
  std::shared_ptr<const Secret> seal;
};

// One or two.
using KeyRing = std::vector<Key>;

// Of 32 bytes as they stand in a file.
Key MakeKey(const std::uint8_t* bytes);

// Throws KeyFileError; the ring in use is the caller's until this one is whole, so a bad file changes
// nothing.
KeyRing Load(const std::string& path);

}  // namespace mothrack::gossip
