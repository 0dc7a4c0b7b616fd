// The bytes of messages that all connections of the process may hold together.
//
// Whoever holds bytes of a message has a Charge and sets its size. There are two kinds of claims, so that the
// process slows down before it turns requests away, and finishes what it has begun:
// - Reserve() claims what is needed to finish something, up to the whole limit. If it is denied, the caller
//   must not begin.
// - Grow() claims what only makes things faster, such as a longer buffer, up to kGrowthShare of the limit. If
//   it is denied, the caller goes on with what it has.
//
// A handle: copies share one budget, which lives as long as any of them or any charge, because handlers of
// the event loop may hold messages longer than the sidecar exists. Used on the thread of the event loop. All
// sizes are in bytes. No call fails otherwise.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace mothrack::runtime {

class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) : totals_(std::make_shared<Totals>(Totals{limit, limit})) {}

  // Halves the limit, because another process of this sidecar uses the other half. What is held above that is
  // kept until its holder needs less.
  void Halve() { totals_->limit = totals_->full_limit / 2; }
  // Restores the limit, once that process has exited.
  void Restore() { totals_->limit = totals_->full_limit; }

  std::size_t limit() const { return totals_->limit; }
  std::size_t used() const { return totals_->used; }
  // The highest value of used() since the start of the process.
  std::size_t peak() const { return totals_->peak; }
  // How many calls of Reserve() were denied.
  std::uint64_t denied() const { return totals_->denied; }
  // By how much Grow() may increase a charge now.
  std::size_t GrowthAvailable() const;

  // How many bytes each open stream may buffer: an even share of kStreamShare of the limit, at least
  // kMinWindow and at most kMaxWindow. Windows above kMinWindow are further bounded by GrowthAvailable().
  std::size_t StreamWindow() const;

  // How many streams are open.
  std::size_t open_streams() const { return totals_->open_streams; }

 private:
  struct Totals {
    std::size_t limit;       // now
    std::size_t full_limit;  // while no other process uses half of it
    std::size_t used = 0;
    std::size_t peak = 0;
    std::uint64_t denied = 0;
    std::size_t open_streams = 0;

    std::size_t GrowthAvailable() const;
  };

 public:
  // One holder's part of the budget. Movable; the source of a move holds nothing. A default-constructed one
  // belongs to no budget and holds nothing.
  class Charge {
   public:
    Charge() = default;
    explicit Charge(const MemoryBudget& budget) : totals_(budget.totals_) {}
    ~Charge() { Set(0); }
    Charge(Charge&& other) noexcept;
    Charge& operator=(Charge&& other) noexcept;
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;

    // Changes the size of this charge. Returns false, without effect, if it would increase and the budget
    // denies that. A charge of no budget cannot increase.
    bool Reserve(std::size_t bytes);
    bool Grow(std::size_t bytes);
    // Changes the size without asking: for bytes that already exist and were part of another charge.
    void Set(std::size_t bytes);

    std::size_t bytes() const { return bytes_; }

   private:
    std::shared_ptr<Totals> totals_;
    std::size_t bytes_ = 0;
  };

  // Counts one open stream while it exists.
  class OpenStream {
   public:
    explicit OpenStream(const MemoryBudget& budget) : totals_(budget.totals_) { ++totals_->open_streams; }
    ~OpenStream() { --totals_->open_streams; }
    OpenStream(const OpenStream&) = delete;
    OpenStream& operator=(const OpenStream&) = delete;

   private:
    const std::shared_ptr<Totals> totals_;
  };

  static constexpr std::size_t kMinWindow = std::size_t{8} * 1024;
  static constexpr std::size_t kMaxWindow = std::size_t{256} * 1024;

 private:
  std::shared_ptr<Totals> totals_;
};

}  // namespace mothrack::runtime
