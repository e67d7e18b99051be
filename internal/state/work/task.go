package work

// Wanted reports whether the task should start or continue to run. It is false
// once the job is cancelled or final, for a replica beyond the service's present
// number, and for tasks of an interrupted gang.
func (j *Job) Wanted(index int) bool {
	if j.Cancelled || j.Final != "" {
		return false
	}
	if j.Spec.Kind == KindGang && j.interrupted() {
		return false
	}
	return index < j.Spec.Tasks
}

// interrupted reports whether a task of a gang has failed for good, or has ended
// and become pending while others are still assigned. Those must stop before the
// gang is started again as a whole.
func (j *Job) interrupted() bool {
	for _, t := range j.Tasks {
		if t.State == TaskFailed || t.State == TaskPending && t.Attempt > 0 && j.Assigned > 0 {
			return true
		}
	}
	return false
}

// addUsage adds an assigned task to Used, Tenants and Placed.
func (s *State) addUsage(j *Job, ref TaskRef, t Task) {
	s.Used[t.Worker] = s.Used[t.Worker].Add(j.Spec.Size)
	s.Tenants[j.Spec.Tenant] = s.Tenants[j.Spec.Tenant].Add(j.Spec.Size)
	m := s.Placed[t.Worker]
	if m == nil {
		m = map[TaskRef]Placed{}
		s.Placed[t.Worker] = m
	}
	m[ref] = Placed{t.Attempt, j.Spec.Size}
}

// removeUsage undoes addUsage.
func (s *State) removeUsage(j *Job, ref TaskRef, t Task) {
	s.Used[t.Worker] = s.Used[t.Worker].Sub(j.Spec.Size)
	s.Tenants[j.Spec.Tenant] = s.Tenants[j.Spec.Tenant].Sub(j.Spec.Size)
	delete(s.Placed[t.Worker], ref)
	if len(s.Placed[t.Worker]) == 0 {
		delete(s.Placed, t.Worker)
		delete(s.Used, t.Worker)
	}
}

func (s *State) task(ref TaskRef) (*Job, *Task) {
	j := s.Jobs[ref.Job]
	if j == nil || ref.Index < 0 || ref.Index >= len(j.Tasks) {
		return nil, nil
	}
	return j, &j.Tasks[ref.Index]
}

// Current reports whether a is the present assignment of its task.
func (s *State) Current(a Assign) bool {
	_, t := s.task(a.Task)
	return t != nil && t.State == TaskAssigned && t.Attempt == a.Attempt && t.Worker == a.Worker
}

func (s *State) assignTask(a Assign) bool {
	j, t := s.task(a.Task)
	if t == nil || t.State != TaskPending || a.Attempt != t.Attempt+1 || j.Cancelled || j.Final != "" {
		return false
	}
	t.State = TaskAssigned
	t.Attempt = a.Attempt
	t.Worker = a.Worker
	j.Assigned++
	j.Ran = true
	s.addUsage(j, a.Task, *t)
	return true
}

func (s *State) endAttempt(e End, atMs int64) bool {
	j, t := s.task(e.Task)
	if t == nil || t.State != TaskAssigned || t.Attempt != e.Attempt {
		return false
	}
	s.removeUsage(j, e.Task, *t)
	t.Worker = ""
	j.Assigned--
	s.updateTaskAfterEnd(j, e, t)
	if j.Spec.Kind == KindGang {
		s.requeueGang(j)
	}
	s.finishIfComplete(j, atMs)
	return true
}

// updateTaskAfterEnd sets the state of a task whose attempt has ended. A pending
// task of a gang is not added to Fresh; requeueGang adds the whole gang.
func (s *State) updateTaskAfterEnd(j *Job, e End, t *Task) {
	if e.Outcome == OutcomeFailed {
		t.Fails++
	}
	switch {
	case j.Spec.Kind != KindService && e.Outcome == OutcomeDone:
		s.closeTask(j, t, TaskDone)
	case j.Cancelled || j.Final != "" || e.Task.Index >= j.Spec.Tasks:
		s.closeTask(j, t, TaskStopped)
	case j.Spec.Kind != KindService && t.Fails > j.Spec.Retries:
		s.closeTask(j, t, TaskFailed)
	default:
		t.State = TaskPending
		if j.Spec.Kind != KindGang {
			s.Fresh = append(s.Fresh, e.Task)
		}
	}
}

func (s *State) closeTask(j *Job, t *Task, state string) {
	t.State = state
	j.Left--
}

// requeueGang returns all tasks of a gang to pending once the last task of an
// interrupted gang has ended, unless a task has failed for good.
func (s *State) requeueGang(j *Job) {
	if j.Assigned > 0 || j.Cancelled || j.Left == 0 {
		return
	}
	for i := range j.Tasks {
		if j.Tasks[i].State == TaskFailed {
			return
		}
	}
	j.Left = len(j.Tasks)
	for i := range j.Tasks {
		j.Tasks[i].State = TaskPending
	}
	s.markNewlyPending(j)
}

// finishIfComplete sets the job's final state if no task of it is left to run.
func (s *State) finishIfComplete(j *Job, atMs int64) {
	if j.Final != "" || j.Assigned > 0 {
		return
	}
	failed := false
	for _, t := range j.Tasks {
		failed = failed || t.State == TaskFailed
	}
	if failed && j.Spec.Kind == KindGang {
		s.stopPending(j)
	}
	if j.Left > 0 {
		return
	}
	final := JobDone
	if failed {
		final = JobFailed
	}
	if j.Cancelled {
		final = JobCancelled
	}
	if j.Cancelled && !j.Ran {
		final = JobNotRun
	}
	s.setFinal(j, final, atMs)
}

func (s *State) stopPending(j *Job) {
	for i := range j.Tasks {
		if j.Tasks[i].State == TaskPending {
			s.closeTask(j, &j.Tasks[i], TaskStopped)
		}
	}
}

// setFinal sets the final state of a job and drops the oldest finished jobs and
// IDs above the limits.
func (s *State) setFinal(j *Job, final string, atMs int64) {
	j.Final = final
	j.Ended = atMs
	s.Finished = append(s.Finished, j.Spec.ID)
	if len(s.Finished) <= maxFinishedJobs {
		return
	}
	oldest := s.Finished[0]
	s.Finished = s.Finished[1:]
	delete(s.Jobs, oldest)
	s.Spent = append(s.Spent, oldest)
	s.retired[oldest] = true
	if len(s.Spent) > maxRetiredIDs {
		delete(s.retired, s.Spent[0])
		s.Spent = s.Spent[1:]
	}
}

func (s *State) cancelJob(id string, atMs int64) bool {
	j := s.Jobs[id]
	if j == nil || j.Final != "" || j.Cancelled {
		return false
	}
	j.Cancelled = true
	s.stopPending(j)
	s.finishIfComplete(j, atMs)
	return true
}

func (s *State) rejectJob(r Refuse, atMs int64) {
	j := s.Jobs[r.Job]
	if j == nil || j.Final != "" || j.Ran {
		return
	}
	j.Reason = r.Reason
	s.stopPending(j)
	s.setFinal(j, JobNotRun, atMs)
}

func (s *State) setReason(r Refuse) {
	if j := s.Jobs[r.Job]; j != nil && j.Final == "" {
		j.Reason = r.Reason
	}
}

func (s *State) resizeService(r Resize) {
	j := s.Jobs[r.Job]
	if j == nil || j.Final != "" || j.Spec.Kind != KindService || r.Tasks < 1 || r.Tasks > MaxTasks {
		return
	}
	j.Spec.Tasks = r.Tasks
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch {
		case i >= r.Tasks && t.State == TaskPending:
			s.closeTask(j, t, TaskStopped)
		case i < r.Tasks && t.State == TaskStopped:
			t.State = TaskPending
			j.Left++
			s.Fresh = append(s.Fresh, TaskRef{r.Job, i})
		}
	}
	for i := len(j.Tasks); i < r.Tasks; i++ {
		j.Tasks = append(j.Tasks, Task{State: TaskPending})
		j.Left++
		s.Fresh = append(s.Fresh, TaskRef{r.Job, i})
	}
}
