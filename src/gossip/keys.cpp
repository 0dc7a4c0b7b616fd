#include "gossip/keys.h"

#include <fcntl.h>
#include <sodium.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <new>
#include <optional>
#include <string_view>

namespace mothrack::gossip {
namespace {

constexpr std::size_t kMaxKeyFileSize = 4096;  // bytes; two keys and a page of comments
constexpr std::size_t kHexSize = 2 * kKeySize;
constexpr std::size_t kBase64Size = 44;  // length of 32 bytes in base64, with padding
constexpr const char* kExpectedKeyFormat = "; write 32 random bytes as 64 hex digits (openssl rand -hex 32)";

// Separates the derived keys from each other and from any other use of the same key.
constexpr char kDerivationContext[crypto_kdf_CONTEXTBYTES + 1] = "mothpeer";
enum Purpose : std::uint64_t { kSealPurpose = 1, kIdPurpose = 2 };

void InitializeSodium() {
  if (sodium_init() < 0)
    throw std::runtime_error("libsodium cannot be used on this machine: no source of randomness");
}

// The content of the file, zeroed however LoadKeys() ends.
struct KeyFileContent {
  std::array<char, kMaxKeyFileSize + 1> bytes;
  std::size_t size = 0;
  ~KeyFileContent() { sodium_memzero(bytes.data(), bytes.size()); }
};

// Closes the descriptor, if it is valid, at the end of its scope.
struct FileDescriptor {
  int fd;
  ~FileDescriptor() {
    if (fd >= 0) ::close(fd);
  }
};

void ReadKeyFile(const std::string& path, KeyFileContent& content) {
  // Non-blocking, so that a FIFO of that name cannot block the task.
  const FileDescriptor file{::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK)};
  const auto fail = [&](const std::string& cause) { throw KeyFileError(path, std::nullopt, cause); };
  if (file.fd < 0)
    fail(std::string("cannot be opened: ") + std::strerror(errno) + "; create it with mode 0600");
  // Check the opened file, not the path: they may differ by now.
  struct stat status {};
  if (::fstat(file.fd, &status) != 0)
    fail(std::string("its owner and mode cannot be read: ") + std::strerror(errno));
  if (!S_ISREG(status.st_mode)) fail("is not a regular file; give the path of one");
  if (status.st_uid != ::geteuid()) {
    fail("belongs to user " + std::to_string(status.st_uid) + "; chown it to user " +
         std::to_string(::geteuid()) + ", who runs this program");
  }
  if ((status.st_mode & 0177) != 0)
    fail(
        "its mode allows more than reading and writing by its owner; chmod it to 0600, and replace the keys "
        "if others "
        "may have read them");
  while (content.size < content.bytes.size()) {
    const auto size_read =
        ::read(file.fd, content.bytes.data() + content.size, content.bytes.size() - content.size);
    if (size_read < 0 && errno == EINTR) continue;
    if (size_read < 0) fail(std::string("cannot be read: ") + std::strerror(errno));
    if (size_read == 0) return;
    content.size += static_cast<std::size_t>(size_read);
  }
  fail("is longer than 4096 bytes; keep one or two keys in it and short comments");
}

std::string_view Trim(std::string_view line) {
  constexpr std::string_view kBlanks = " \t\r";
  const auto first = line.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return line.substr(first, line.find_last_not_of(kBlanks) - first + 1);
}

// Decodes a key. Returns an error text if it is invalid.
std::optional<std::string> DecodeKey(std::string_view text, Secret& key) {
  const bool base64 = text.size() == kBase64Size && text.back() == '=';
  if (!base64 && text.size() != kHexSize) {
    return std::string("the key has ") + std::to_string(text.size()) +
           " characters instead of 64 hex or 44 base64 characters";
  }
  std::size_t size = 0;
  const bool is_decoded =
      base64 ? sodium_base642bin(key.data(), kKeySize, text.data(), text.size(), nullptr, &size, nullptr,
                                 sodium_base64_VARIANT_ORIGINAL) == 0
             : sodium_hex2bin(key.data(), kKeySize, text.data(), text.size(), nullptr, &size, nullptr) == 0;
  if (!is_decoded || size != kKeySize) return base64 ? "the key is not base64" : "the key is not hex";
  if (std::all_of(key.data(), key.data() + kKeySize, [&](auto byte) { return byte == *key.data(); })) {
    return "the key repeats a single byte";  // for example a placeholder that was never replaced
  }
  return std::nullopt;
}

std::string LocationOf(const std::string& path, std::optional<std::size_t> line) {
  return line ? path + ':' + std::to_string(*line) : path;
}

}  // namespace

KeyFileError::KeyFileError(const std::string& path, std::optional<std::size_t> line, const std::string& cause)
    : std::runtime_error(LocationOf(path, line) + ": " + cause), line_(line) {}

Secret::Secret() {
  InitializeSodium();
  bytes_.reset(static_cast<std::uint8_t*>(sodium_malloc(kKeySize)));
  if (!bytes_) throw std::bad_alloc();
}

void Secret::Free::operator()(std::uint8_t* bytes) const { sodium_free(bytes); }

Key MakeKey(const std::uint8_t* bytes) {
  InitializeSodium();
  Key key;
  auto seal = std::make_shared<Secret>();
  crypto_kdf_derive_from_key(seal->data(), kKeySize, kSealPurpose, kDerivationContext, bytes);
  std::array<std::uint8_t, crypto_kdf_BYTES_MIN> id;
  crypto_kdf_derive_from_key(id.data(), id.size(), kIdPurpose, kDerivationContext, bytes);
  std::copy_n(id.begin(), key.id.size(), key.id.begin());
  key.seal = std::move(seal);
  return key;
}

KeyRing LoadKeys(const std::string& path) {
  InitializeSodium();
  KeyFileContent content;
  ReadKeyFile(path, content);
  KeyRing ring;
  std::vector<std::size_t> lines;  // of the ring's keys
  std::string_view rest(content.bytes.data(), content.size);
  for (std::size_t number = 1; !rest.empty(); ++number) {
    const auto end = std::min(rest.find('\n'), rest.size());
    const std::string_view text = Trim(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (text.empty() || text.front() == '#') continue;
    const auto fail = [&](const std::string& cause) { throw KeyFileError(path, number, cause); };
    if (ring.size() == kMaxRingKeys) fail("a third key; remove one that no member seals with any more");
    Secret bytes;
    if (const auto error = DecodeKey(text, bytes)) fail(*error + kExpectedKeyFormat);
    ring.push_back(MakeKey(bytes.data()));
    lines.push_back(number);
    // Compare the ids: this also rejects two different keys whose ids coincide, one of which would never be
    // used.
    if (ring.size() == 2 && ring[0].id == ring[1].id) {
      fail("the same key as in line " + std::to_string(lines[0]) + "; remove one of the two");
    }
  }
  if (ring.empty())
    throw KeyFileError(path, std::nullopt, std::string("contains no key") + kExpectedKeyFormat);
  return ring;
}

}  // namespace mothrack::gossip
