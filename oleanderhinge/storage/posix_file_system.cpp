#include "oleanderhinge/storage/file_system.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <system_error>
#include <utility>

namespace oleanderhinge::storage
{

namespace
{

boost::leaf::error_id failure(const char* operation, const std::string& path)
{
    const std::error_code code(errno, std::generic_category());
    const bool no_space = errno == ENOSPC || errno == EDQUOT;
    return base::fail(
        no_space ? base::error_code::no_space : base::error_code::io,
        std::string(operation) + " " + path + ": " + code.message());
}

// Owns a file descriptor.
class descriptor
{
public:
    explicit descriptor(int number_in)
        : number(number_in)
    {
    }
    ~descriptor()
    {
        if (this->number >= 0)
            ::close(this->number);
    }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;

    const int number;
};

class posix_file final : public file
{
public:
    posix_file(int number, std::string path_in)
        : handle(number)
        , path(std::move(path_in))
    {
    }

    base::result<void> write(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const auto written =
                ::write(this->handle.number, bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                return failure("write", this->path);
            bytes.remove_prefix(std::size_t(written));
        }
        return {};
    }

    base::result<void> sync() override
    {
        // After any failure the pages may be dropped, so that none is
        // `no_space`.
        if (::fdatasync(this->handle.number) != 0)
            return base::fail(
                base::error_code::io,
                "sync " + this->path + ": " +
                    std::error_code(errno, std::generic_category()).message());
        return {};
    }

private:
    descriptor handle;
    const std::string path;
};

class posix_file_system final : public file_system
{
public:
    explicit posix_file_system(std::string folder_in)
        : folder(std::move(folder_in))
    {
    }

    base::result<std::vector<std::string>> list() override
    {
        std::vector<std::string> names;
        std::error_code code;
        std::filesystem::directory_iterator item(this->folder, code);
        for (; !code && item != std::filesystem::directory_iterator();
             item.increment(code)) {
            if (item->is_regular_file(code))
                names.push_back(item->path().filename().string());
        }
        if (code)
            return base::fail(
                base::error_code::io,
                "list " + this->folder + ": " + code.message());
        std::sort(names.begin(), names.end());
        return names;
    }

    base::result<std::string> read(const std::string& name) override
    {
        const auto path = this->path_of(name);
        const descriptor in(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
        struct stat status {
        };
        if (in.number < 0 || ::fstat(in.number, &status) != 0)
            return failure("open", path);
        std::string bytes(std::size_t(status.st_size), '\0');
        std::size_t done = 0;
        while (done < bytes.size()) {
            const auto count =
                ::read(in.number, bytes.data() + done, bytes.size() - done);
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0)
                return failure("read", path);
            if (count == 0)
                break;
            done += std::size_t(count);
        }
        bytes.resize(done);
        return bytes;
    }

    base::result<std::unique_ptr<file>> create(const std::string& name) override
    {
        return this->open(name, O_CREAT | O_TRUNC);
    }

    base::result<std::unique_ptr<file>>
    open_append(const std::string& name) override
    {
        return this->open(name, 0);
    }

    base::result<void>
    truncate(const std::string& name, std::uint64_t size) override
    {
        const auto path = this->path_of(name);
        if (::truncate(path.c_str(), off_t(size)) != 0)
            return failure("truncate", path);
        return {};
    }

    base::result<void>
    rename(const std::string& from, const std::string& to) override
    {
        const auto source = this->path_of(from);
        if (std::rename(source.c_str(), this->path_of(to).c_str()) != 0)
            return failure("rename", source);
        return {};
    }

    base::result<void> remove(const std::string& name) override
    {
        const auto path = this->path_of(name);
        if (::unlink(path.c_str()) != 0 && errno != ENOENT)
            return failure("remove", path);
        return {};
    }

    base::result<void> sync_folder() override
    {
        const descriptor in(
            ::open(this->folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        if (in.number < 0)
            return failure("open", this->folder);
        if (::fsync(in.number) != 0)
            return failure("sync", this->folder);
        return {};
    }

private:
    std::string path_of(const std::string& name) const
    {
        return this->folder + "/" + name;
    }

    base::result<std::unique_ptr<file>> open(const std::string& name, int flags)
    {
        const auto path = this->path_of(name);
        const int number =
            ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC | flags, 0600);
        if (number < 0)
            return failure("open", path);
        return std::unique_ptr<file>(
            std::make_unique<posix_file>(number, path));
    }

    const std::string folder;
};

} // namespace

std::unique_ptr<file_system> make_posix_file_system(std::string folder)
{
    return std::make_unique<posix_file_system>(std::move(folder));
}

} // namespace oleanderhinge::storage
