import subprocess,os,socket,time,threading,re
env=dict(os.environ,REPOSITORY=os.getcwd(),WORK=os.environ.get('WORK','60'))
os.makedirs(os.environ['OUT'],exist_ok=True)
p=subprocess.Popen([os.environ['HOLD'],'hold'],stdin=subprocess.PIPE,stdout=subprocess.PIPE,text=True,cwd=os.environ['OUT'],env=env)
ok,a,b,d=p.stdout.readline().split(); print(ok,a,b,d)
def addr(x): h,q=x.split(':'); return (h,int(q))
def pids():
    out=subprocess.run(['pgrep','-f','target/release/wagtail-gateway'],capture_output=True,text=True).stdout.split()
    return [x for x in out if 'front-lisse-1' in open(f'/proc/{x}/environ').read()]
pid=pids()[0]
def mem():
    t=open(f'/proc/{pid}/status').read(); return {k:int(re.search(k+r':\s+(\d+)',t).group(1))//1024 for k in('VmHWM','VmRSS')}
time.sleep(2); print('base',mem())
# idle conns
conns=[]
for i in range(1900):
    s=socket.create_connection(addr(a)); conns.append(s)
time.sleep(1); print('1900 idle conns',mem())
for i,s in enumerate(conns):
    s.sendall(f'POST /post/{i} HTTP/1.1\r\nHost: bulbs.example\r\nWagtailarch-Request-Id: m{i}\r\nContent-Length: 100000\r\n\r\n'.encode())
time.sleep(1); print('heads',mem())
t=time.time()
for i,s in enumerate(conns):
    s.setblocking(False)
    try: s.send(b'x'*15000)
    except Exception as e: print(e); break
time.sleep(1.5); print('15k each',mem())
for r in range(5):
  for i,s in enumerate(conns):
    try: s.send(b'x'*15000)
    except Exception as e: pass
  time.sleep(0.7); print('more',r,mem())
for s in conns: s.close()
time.sleep(1); print('closed',mem())
p.stdin.write('\n'); p.stdin.flush(); p.wait()
