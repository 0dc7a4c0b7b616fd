#include "gossip/task.h"

#include <pthread.h>

#include <csignal>
#include <system_error>
#include <utility>

#include "gossip/task_worker.h"

namespace mothrack::gossip {
namespace {

// While it exists, blocks all signals in this thread and in the threads that it starts, because signals are
// handled by the event loop.
class SignalBlock {
 public:
  SignalBlock() {
    sigset_t all;
    ::sigfillset(&all);
    ::pthread_sigmask(SIG_SETMASK, &all, &before_);
  }
  ~SignalBlock() { ::pthread_sigmask(SIG_SETMASK, &before_, nullptr); }
  SignalBlock(const SignalBlock&) = delete;
  SignalBlock& operator=(const SignalBlock&) = delete;

 private:
  sigset_t before_{};
};

}  // namespace

Task::Task(const Settings& settings, const std::string& name, TurnHook turn_hook) try {
  worker_ = std::make_shared<TaskWorker>(settings, name, std::move(turn_hook));
  std::promise<void> end;
  ended_ = end.get_future();
  const SignalBlock signal_block;
  thread_ = std::thread([worker = worker_, end = std::move(end)]() mutable {
    worker->Run();
    worker.reset();
    end.set_value();
  });
} catch (const std::system_error& e) {
  throw ResourceError(std::string("cannot create a thread or an eventfd: ") + e.what());
}

Task::~Task() { Stop(); }

void Task::Post(TaskCommand command) { worker_->commands().Push(std::move(command)); }

BoundedQueue<MembershipSnapshotPtr>& Task::snapshots() { return worker_->snapshots(); }

bool Task::Stop() {
  if (!thread_.joinable()) return true;
  worker_->RequestStop();
  const bool ended = ended_.wait_for(kStopTimeout) == std::future_status::ready;
  if (ended) {
    thread_.join();
  } else {
    thread_.detach();
  }
  return ended;
}

runtime::Endpoint Task::local() const { return worker_->local(); }
std::uint64_t Task::failures() const { return worker_->failures(); }
std::uint64_t Task::dropped() const { return worker_->dropped(); }

}  // namespace mothrack::gossip
