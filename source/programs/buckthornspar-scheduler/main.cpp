#include "core/server/server_main.h"
#include "scheduler_application.h"

namespace {

using namespace buckthornspar;

class scheduler_program final : public server::server_program {
public:
    [[nodiscard]] std::string summary() const override {
        return "Owns shards of workers: places tasks, renews leases and recovers jobs.";
    }

    void read_settings(common::settings_section& settings) override {
        m_settings = scheduler::read_scheduler_settings(settings);
    }

    [[nodiscard]] std::unique_ptr<server::server_application>
    start(server::server_process& process) override {
        return std::make_unique<scheduler::scheduler_application>(process, m_settings);
    }

private:
    scheduler::scheduler_settings m_settings;
};

} // namespace

int main(int argc, char** argv) {
    scheduler_program program;
    return server::server_main(argc, argv, program);
}
